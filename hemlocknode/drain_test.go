package hemlocknode

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// respondWithSize responds with as many bytes as the path says, in pieces. A response to /stream/ has no declared length.
func respondWithSize(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	size, _ := strconv.Atoi(parts[2])
	wait := time.Millisecond
	if parts[1] == "slow" {
		// A slow response takes longer than the grace period.
		wait = 40 * time.Millisecond
	}
	if parts[1] != "stream" {
		w.Header().Set("Content-Length", parts[2])
	}
	controller, piece := http.NewResponseController(w), strings.Repeat("x", 64<<10)
	for size > 0 {
		n := min(size, len(piece))
		if _, err := w.Write([]byte(piece[:n])); err != nil || controller.Flush() != nil {
			return
		}
		size -= n
		hemlockcall.Sleep(r.Context(), wait)
	}
}

// callerLoad sends requests of all kinds from several callers, each of which uses one node at a time. A caller changes to the
// next node when its node closes the connection or refuses connections.
type callerLoad struct {
	nodes     []*testNode
	completed atomic.Int64
	stop      atomic.Bool
}

func (l *callerLoad) run(t *testing.T, caller int) {
	kinds := []string{"small/100", "large/3000000", "stream/400000", "small/70000", "slow/1500000"}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	current := caller % len(l.nodes)
	for i := caller; !l.stop.Load(); i++ {
		kind := kinds[i%len(kinds)]
		size, _ := strconv.Atoi(kind[strings.Index(kind, "/")+1:])
		response, err := client.Get("http://" + l.nodes[current].callersAddress + "/pages/" + kind)
		var dialErr *net.OpError
		if errors.As(err, &dialErr) && dialErr.Op == "dial" {
			current = (current + 1) % len(l.nodes)
			continue
		}
		if err != nil {
			t.Errorf("%s got no response: %v", kind, err)
			return
		}
		length, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		switch {
		case err != nil:
			t.Errorf("the response to %s was truncated after %d bytes: %v", kind, length, err)
		case response.StatusCode == http.StatusOK && length != int64(size):
			t.Errorf("the response to %s has %d bytes, want as many as its path says", kind, length)
		case response.StatusCode != http.StatusOK && response.Header.Get("Hemlock-Verdict") != "not-run":
			t.Errorf("%s was refused with status %d and reason %s, want the verdict not-run", kind, response.StatusCode, response.Header.Get("Hemlock-Reason"))
		case response.StatusCode == http.StatusOK:
			l.completed.Add(1)
		}
		if response.Close {
			current = (current + 1) % len(l.nodes)
		}
	}
}

// Guards against a planned stop of a node that breaks a request in flight (guarantee 7 of the design).
func TestGracefulShutdownTruncatesNoResponse(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t)
			c.publish(pagesFile)
			load := &callerLoad{}
			for range 3 {
				n := c.startNode("a", func(s *Settings) { s.DrainGrace = 100 * time.Millisecond })
				load.nodes = append(load.nodes, n)
				// The slow start of a target begins with 10 slots, so some requests wait in the queue.
				c.startTarget(n, "pages", respondWithSize)
			}
			eventually(t, "all nodes see all targets and the first has the configuration", func() bool {
				return load.nodes[0].readyTargets() == 3 && load.nodes[1].readyTargets() == 3 && load.nodes[2].readyTargets() == 3 && load.nodes[0].version() == 1
			})
			var callers sync.WaitGroup
			for i := range 40 {
				callers.Go(func() { load.run(t, i) })
			}
			random := rand.New(rand.NewPCG(seed, 1))
			completedBeforeStop := 50 + random.Int64N(300)
			eventually(t, "enough requests have completed before the stop", func() bool { return load.completed.Load() >= completedBeforeStop })
			stopped := load.nodes[random.IntN(3)]
			stopped.stop()
			eventually(t, "the node has stopped", func() bool {
				select {
				case err := <-stopped.done:
					return err == nil
				default:
					return false
				}
			})
			completedAtStop := load.completed.Load()
			eventually(t, "the other nodes continue to serve", func() bool { return load.completed.Load() > completedAtStop+100 })
			load.stop.Store(true)
			callers.Wait()
			for _, n := range load.nodes {
				eventually(t, "all memory and slots are released", func() bool {
					return n.calls.bodyMemory.available.Load() == n.settings.BufferMemory && n.server.admission.Snapshot(time.Now()).InFlight == 0
				})
			}
		})
	}
}
