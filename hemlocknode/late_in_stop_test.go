package hemlocknode

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// lateInStopTimeout is the stop timeout of the nodes in the test; the last begin is after half of it.
const lateInStopTimeout = 2 * time.Second

// Guards against orders that a stopping node passes on so late that it cuts them at its stop timeout.
func TestOrdersLateInAStopAreNotCut(t *testing.T) {
	for name, send := range map[string]func(t *testing.T, n *testNode) <-chan string{
		"a slow body": func(t *testing.T, n *testNode) <-chan string {
			defer n.stop()
			return sendSlowly(t, n, 1, 1300*time.Millisecond)
		},
		"a body that is never complete": func(t *testing.T, n *testNode) <-chan string {
			defer n.stop()
			return sendSlowly(t, n, 1, time.Minute)
		},
		"the queue of the target": func(t *testing.T, n *testNode) <-chan string {
			defer n.stop()
			results := sendSlowly(t, n, 12, 0) // more than the target has slots
			eventually(t, "an order waits for a slot", func() bool { return n.server.admission.Snapshot(time.Now()).Queued > 0 })
			return results
		},
		"the queue of a peer's target": func(t *testing.T, n *testNode) <-chan string {
			defer n.stop()
			return sendSlowly(t, n, 12, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.publish(strings.Replace(ordersFile, "slots = 80", "slots = 2", 1))
			n := c.startNode("a", func(s *Settings) { s.DrainGrace, s.StopTimeout = 100*time.Millisecond, lateInStopTimeout })
			beside := n
			if name != "the queue of the target" {
				beside = c.startNode("a", nil)
			}
			target := c.startTarget(beside, "orders", func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/late" {
					time.Sleep(1200 * time.Millisecond)
				}
			})
			eventuallyServes(t, n, "POST", "/orders/warm", "")
			before := target.runs.Load()
			results := send(t, n)
			<-n.done
			served := int64(0)
			for got := range results {
				switch {
				case strings.HasPrefix(got, "HTTP/1.1 200"):
					served++
				case strings.Contains(got, "Hemlock-Reason: overload"): // before the stop
				case !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.Contains(got, "Hemlock-Verdict: not-run") ||
					!strings.Contains(got, "Connection: close"):
					t.Errorf("%q, want a response, or a refusal as not run that closes the connection", got)
				}
			}
			if runs := target.runs.Load() - before; runs != served {
				t.Errorf("%d orders ran, %d were answered", runs, served)
			}
		})
	}
}

// sendSlowly sends orders whose last byte follows after a wait, each on a connection of its own. When it returns, the nodes have
// accepted the connections. The channel gets what the node sends until it closes each connection, and is closed after the last one.
func sendSlowly(t *testing.T, n *testNode, count int, wait time.Duration) <-chan string {
	t.Helper()
	results := make(chan string, count)
	var reading sync.WaitGroup
	for range count {
		connection, err := net.Dial("tcp", n.callersAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(connection, "POST /orders/late HTTP/1.1\r\nHost: h\r\nIdempotency-Key: %s\r\nContent-Length: 10\r\n\r\n012345678",
			newKey(t).Get("Idempotency-Key"))
		time.AfterFunc(wait, func() { _, _ = io.WriteString(connection, "9") }) // fails if the connection was closed
		reading.Go(func() {
			defer func() { _ = connection.Close() }()
			response, _ := io.ReadAll(connection) // an error leaves the response incomplete
			results <- string(response)
		})
	}
	go func() {
		reading.Wait()
		close(results)
	}()
	time.Sleep(100 * time.Millisecond) // nothing shows that the node reads the bodies
	return results
}
