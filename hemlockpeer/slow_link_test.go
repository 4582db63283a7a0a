package hemlockpeer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// faultyLink forwards connections to a server. Each of the two functions gets the bytes read from one side; it may wait, and returns
// how many of them are forwarded. If it forwards fewer, the connection is reset.
type faultyLink struct {
	toServer, toClient func(n int) int
}

func (l faultyLink) start(t *testing.T, server string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", server)
			if err != nil {
				_ = near.Close()
				continue
			}
			go forward(far, near, l.toServer)
			go forward(near, far, l.toClient)
		}
	}()
	return listener.Addr().String()
}

func forward(to, from net.Conn, pass func(n int) int) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		passed := pass(n)
		if _, err := to.Write(buffer[:passed]); err != nil || passed < n {
			_ = from.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// sometimes returns a function that applies a fault to one part in ten.
func sometimes(fault func(n int) int) func(n int) int {
	return func(n int) int {
		if rand.IntN(10) > 0 {
			return n
		}
		return fault(n)
	}
}

// Guards against an order that runs although the node that sent it to a slow, silent or cut off peer says that it has not, and
// against an order that such a peer gets twice.
func TestOrdersOverFaultyLinks(t *testing.T) {
	whole := func(n int) int { return n }
	delay := func(d time.Duration) func(int) int {
		return func(n int) int {
			time.Sleep(d)
			return n
		}
	}
	for name, link := range map[string]faultyLink{
		"slow both ways":      {sometimes(delay(300 * time.Millisecond)), sometimes(delay(300 * time.Millisecond))},
		"silent to the peer":  {sometimes(delay(1500 * time.Millisecond)), whole},
		"silent to the node":  {whole, sometimes(delay(1500 * time.Millisecond))},
		"cut off at the peer": {sometimes(rand.IntN), whole},
		"cut off at the node": {whole, sometimes(rand.IntN)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mutex sync.Mutex
			runs := map[string]int{}
			address := link.start(t, startRelayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest,
			) (*hemlockcall.RelayResponse, error) {
				mutex.Lock()
				runs[call.ID]++
				mutex.Unlock()
				time.Sleep(5 * time.Millisecond)
				return &hemlockcall.RelayResponse{Status: 200, Body: call.Body}, nil
			}))
			client := NewRelayClient()
			defer client.Close()
			refused := sendOrders(t, client, address)
			time.Sleep(2 * time.Second) // what the link still holds arrives
			mutex.Lock()
			defer mutex.Unlock()
			for id, count := range runs {
				if count > 1 || refused[id] {
					t.Errorf("order %s ran %d times; refused as not run: %v", id, count, refused[id])
				}
			}
			t.Logf("%d orders ran, %d were refused as not run", len(runs), len(refused))
		})
	}
}

// sendOrders sends orders over several goroutines for a while, some with long bodies, and returns those that were refused as not run.
func sendOrders(t *testing.T, client *RelayClient, address string) map[string]bool {
	t.Helper()
	var mutex sync.Mutex
	refused := map[string]bool{}
	var group sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for sender := range 16 {
		group.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				call := newRelayRequest(make([]byte, max(0, rand.IntN(400<<10)-(300<<10))))
				call.ID, call.Idempotent = fmt.Sprintf("%d-%d", sender, number), false
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(50+rand.IntN(1500))*time.Millisecond)
				_, err := client.Relay(ctx, address, call)
				cancel()
				if err != nil && hemlockcall.AsRefusal(err).Verdict == hemlockcall.VerdictNotRun {
					mutex.Lock()
					refused[call.ID] = true
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	return refused
}

// Guards against a peer that is declared silent, and loses running work, while it sends a long body over a slow link.
func TestPeerThatSendsALongBodyIsNotSilent(t *testing.T) {
	body := pattern(1, 512<<10)
	server := startRelayServer(t, func(context.Context, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		return &hemlockcall.RelayResponse{Status: 200, Body: body}, nil
	})
	slow := faultyLink{toServer: func(n int) int { return n }, toClient: func(n int) int {
		time.Sleep(time.Duration(n) * 400 * time.Millisecond / (64 << 10)) // a message takes longer than brokenAfter
		return n
	}}
	client := NewRelayClient()
	defer client.Close()
	call := newRelayRequest(nil)
	call.Remaining = 20 * time.Second
	response, err := client.Relay(t.Context(), slow.start(t, server), call)
	noError(t, err)
	equal(t, "the body is whole", string(response.Body) == string(body), true)
}

// Guards against a call that waits until its deadline with an unknown outcome although its peer has not received the whole request
// and so cannot have run it.
func TestRequestThatWasSentInPartHasNotRun(t *testing.T) {
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	var runs atomic.Int64
	server := startRelayServer(t, func(context.Context, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		runs.Add(1)
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})
	received := 0
	stalled := faultyLink{toServer: func(n int) int {
		if received += n; received > 256<<10 {
			<-released
		}
		return n
	}, toClient: func(n int) int { return n }}
	client := NewRelayClient()
	defer client.Close()
	call := newRelayRequest(make([]byte, 30<<20)) // more than the buffers of the connections hold
	call.Remaining, call.Idempotent = 20*time.Second, false
	started := time.Now()
	_, err := client.Relay(t.Context(), stalled.start(t, server), call)
	wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonConnection)
	if took := time.Since(started); took > 3*brokenAfter {
		t.Errorf("refused after %v, want soon after the peer became silent", took)
	}
	release()
	time.Sleep(500 * time.Millisecond) // what the link holds arrives
	equal(t, "runs of the refused call", runs.Load(), 0)
}
