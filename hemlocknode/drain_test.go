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

// answersOfSize answers with as many bytes as the path says, in pieces; a path of /stream/ has no declared length.
func answersOfSize(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	size, _ := strconv.Atoi(parts[2])
	wait := time.Millisecond
	if parts[1] == "slow" {
		// A slow answer outlasts the grace period.
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

// load sends requests of all kinds to the nodes in turn. A caller leaves a node that asks for it or cannot be reached.
type load struct {
	nodes    []*testNode
	finished atomic.Int64
	stop     atomic.Bool
}

func (l *load) run(t *testing.T, caller int) {
	kinds := []string{"small/100", "large/3000000", "stream/400000", "small/70000", "slow/1500000"}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	at := caller % len(l.nodes)
	for i := caller; !l.stop.Load(); i++ {
		kind := kinds[i%len(kinds)]
		size, _ := strconv.Atoi(kind[strings.Index(kind, "/")+1:])
		answer, err := client.Get("http://" + l.nodes[at].callers + "/pages/" + kind)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			at = (at + 1) % len(l.nodes)
			continue
		}
		if err != nil {
			t.Errorf("%s got no answer: %v", kind, err)
			return
		}
		length, err := io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		switch {
		case err != nil:
			t.Errorf("the answer to %s broke off after %d bytes: %v", kind, length, err)
		case answer.StatusCode == http.StatusOK && length != int64(size):
			t.Errorf("the answer to %s has %d bytes", kind, length)
		case answer.StatusCode != http.StatusOK && answer.Header.Get("Hemlock-Verdict") != "not-run":
			t.Errorf("%s was refused with %d %s", kind, answer.StatusCode, answer.Header.Get("Hemlock-Reason"))
		case answer.StatusCode == http.StatusOK:
			l.finished.Add(1)
		}
		if answer.Close {
			at = (at + 1) % len(l.nodes)
		}
	}
}

// Guards against a planned stop that breaks a request in flight (guarantee 7).
func TestPlannedStopBreaksNoAnswer(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t)
			c.publish(pagesFile)
			l := &load{}
			for range 3 {
				n := c.node("a", func(s *Settings) { s.DrainGrace = 100 * time.Millisecond })
				l.nodes = append(l.nodes, n)
				// A cold target starts with 10 slots, so some requests wait in the queue.
				c.target(n, "pages", answersOfSize)
			}
			eventually(t, "all nodes know each other", func() bool {
				return l.nodes[0].ready() == 3 && l.nodes[1].ready() == 3 && l.nodes[2].ready() == 3 && l.nodes[0].version() == 1
			})
			var callers sync.WaitGroup
			for i := range 40 {
				callers.Go(func() { l.run(t, i) })
			}
			random := rand.New(rand.NewPCG(seed, 1))
			moment := 50 + random.Int64N(300)
			eventually(t, "the moment of the stop", func() bool { return l.finished.Load() >= moment })
			stopped := l.nodes[random.IntN(3)]
			stopped.stop()
			eventually(t, "the node has stopped", func() bool {
				select {
				case err := <-stopped.done:
					return err == nil
				default:
					return false
				}
			})
			after := l.finished.Load()
			eventually(t, "the others go on", func() bool { return l.finished.Load() > after+100 })
			l.stop.Store(true)
			callers.Wait()
			for _, n := range l.nodes {
				eventually(t, "all memory and slots are given back", func() bool {
					return n.calls.budget.available.Load() == n.settings.BufferMemory && n.server.admission.Snapshot(time.Now()).InFlight == 0
				})
			}
		})
	}
}
