package hemlockpeer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// Guards against a body, header or feedback that is lost or changed between two nodes, with body sizes around the chunk
// size and the buffer limit.
func TestCallRoundTrip(t *testing.T) {
	_, address := startServer(t, invokerFunc(echoDigest))
	client := startClient(t)
	for _, size := range []int{0, 1, 1 << 10, chunkSize - 1, chunkSize, chunkSize + 1, maxBufferedBody, maxBufferedBody + 1, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := pattern(size, size)
			response, err := client.InvokerFor(address).Invoke(context.Background(), newRequest(bytes.NewReader(body), int64(size)))
			noError(t, err)
			checkEcho(t, response, "7", body)
			equal(t, "feedback", fmt.Sprintf("%+v", response.Feedback()),
				fmt.Sprintf("%+v", hemlockcall.Feedback{UnusedRetries: 1, InFlight: 3, Limit: 9}))
		})
	}
}

func checkEcho(t testing.TB, response *hemlockcall.Response, id string, body []byte) {
	t.Helper()
	noError(t, echoError(response, id, body))
}

// echoError returns an error if the response is not the one of echoDigest to the request with this id and body.
func echoError(response *hemlockcall.Response, id string, body []byte) error {
	got, err := io.ReadAll(response.Body)
	if err == nil {
		err = response.Body.Close()
	}
	if err != nil {
		return err
	}
	for what, pair := range map[string][2]string{
		"id":                          {response.Header.Get("X-Id"), id},
		"digest in the handler":       {response.Header.Get("X-Digest"), digest(body)},
		"digest of the body received": {digest(got), digest(body)},
	} {
		if pair[0] != pair[1] {
			return fmt.Errorf("%s: got %s, want %s", what, pair[0], pair[1])
		}
	}
	return nil
}

// Guards against a call that gets the response to another one: thousands of concurrent calls over reused connections must
// each get the response with their own id and digest.
func TestConcurrentCallsGetTheirOwnResponses(t *testing.T) {
	_, address := startServer(t, invokerFunc(echoDigest))
	client := startClient(t, WithMaxConnections(16), WithPoolTimeout(20e9))
	const callers, calls = 64, 60
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for i := range calls {
				id := caller*calls + i
				body := pattern(id, random.IntN(3*chunkSize))
				request := newRequest(bytes.NewReader(body), int64(len(body)))
				request.Header.Set("X-Id", fmt.Sprint(id))
				response, err := client.InvokerFor(address).Invoke(context.Background(), request)
				if err == nil {
					err = echoError(response, fmt.Sprint(id), body)
				}
				if err != nil {
					t.Errorf("call %d: %v", id, err)
					return
				}
			}
		})
	}
	group.Wait()
}

func BenchmarkCall1KB(b *testing.B) {
	_, address := startServer(b, invokerFunc(echoDigest))
	for _, workers := range []int{1, 16, 64} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			client := startClient(b, WithMaxConnections(workers))
			body := pattern(1, 1<<10)
			b.ReportAllocs()
			work := make(chan struct{}, workers)
			var group sync.WaitGroup
			for range workers {
				group.Go(func() {
					for range work {
						request := newRequest(bytes.NewReader(body), int64(len(body)))
						response, err := client.InvokerFor(address).Invoke(context.Background(), request)
						if err == nil {
							_, err = io.Copy(io.Discard, response.Body)
						}
						if err != nil {
							b.Error(err)
						}
					}
				})
			}
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			group.Wait()
		})
	}
}

// Guards against a call that waits for ever because both nodes send a long body and read only after they have sent.
func TestLongStreamedBodiesInBothDirections(t *testing.T) {
	_, address := startServer(t, invokerFunc(func(_ context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
		response := newResponse(nil, r.Length)
		response.Body = io.NopCloser(r.Body) // responds while the request is still being received
		return response, nil
	}))
	client := startClient(t)
	body := pattern(1, 16<<20)
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		response, err := client.InvokerFor(address).Invoke(ctx, newRequest(bytes.NewReader(body), int64(len(body))))
		noError(t, err)
		got, err := io.ReadAll(response.Body)
		noError(t, err)
		noError(t, response.Body.Close())
		cancel()
		if !bytes.Equal(got, body) {
			t.Errorf("a body of %d bytes, want the one of the request", len(got))
		}
	}
}
