package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockhttp"
	"hemlockhollow/hemlockpeer"
	"hemlockhollow/hemlocktarget"
)

// chain is a caller's listener, two nodes and a target in one process, without any decision between them.
func startChain(t *testing.T, version int, o options) (front *httptest.Server, back *target) {
	t.Helper()
	back = newTarget(o)
	backend := httptest.NewServer(back)
	t.Cleanup(backend.Close)
	run := hemlocktarget.NewClient(hemlocktarget.WithNotRunStatuses(func(status int) bool { return status == 503 }))
	run.SetAddress(backend.Listener.Addr().String())
	t.Cleanup(run.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = hemlockpeer.NewServer(run).Serve(ctx, listener) }()
	client := hemlockpeer.NewClient(hemlockpeer.WithPoolTimeout(20 * time.Second))
	t.Cleanup(client.Close)
	peer := client.InvokerFor(listener.Addr().String())
	front = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := hemlockhttp.ReadRequest(r)
		var response *hemlockcall.Response
		if err == nil {
			request.Context = hemlockcall.Context{Trace: hemlockcall.TraceID{1}, Remaining: time.Minute}
			response, err = peer.Invoke(r.Context(), request)
		}
		if err != nil {
			hemlockhttp.WriteRefusal(w, err)
			return
		}
		hemlockhttp.WriteResponse(w, r, response)
	}))
	front.EnableHTTP2 = version == 2
	front.StartTLS()
	t.Cleanup(front.Close)
	return front, back
}

// received is a whole answer.
type received struct {
	status int
	header http.Header
	body   []byte
}

func send(front *httptest.Server, id, query, body string) (received, error) {
	request, err := http.NewRequest(http.MethodPost, front.URL+"/orders/orders?"+query, strings.NewReader(body))
	if err != nil {
		return received{}, err
	}
	request.Header.Set(headerID, id)
	request.Header.Set(headerKey, id)
	answer, err := front.Client().Do(request)
	if err != nil {
		return received{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	whole, err := io.ReadAll(answer.Body)
	return received{status: answer.StatusCode, header: answer.Header, body: whole}, err
}

// checkAnswer says whether the answer belongs to the request and is whole, by the digests that the target made.
func checkAnswer(answer received, id, body string, size int) error {
	sent, got := sha256.Sum256([]byte(body)), sha256.Sum256(answer.body)
	switch {
	case answer.status != http.StatusOK:
		return fmt.Errorf("status %d: %s", answer.status, answer.body)
	case answer.header.Get(headerID) != id:
		return fmt.Errorf("answer of request %s", answer.header.Get(headerID))
	case answer.header.Get(headerDigest) != hex.EncodeToString(sent[:]):
		return fmt.Errorf("the target got another body")
	case answer.header.Get(headerAnswer) != hex.EncodeToString(got[:]) || len(answer.body) != size:
		return fmt.Errorf("answer of %d bytes is not the one that the target sent", len(answer.body))
	}
	return nil
}

// Guards against answers that are crossed or partial on the whole path from a caller to a target and back, with bounded,
// long and streamed bodies in both directions, and against a request that runs twice.
func TestEveryCallGetsItsOwnAnswer(t *testing.T) {
	for version := 1; version <= 2; version++ {
		t.Run(fmt.Sprint("HTTP/", version), func(t *testing.T) {
			front, back := startChain(t, version, options{slots: 1000})
			const callers, calls = 25, 40
			var group sync.WaitGroup
			for caller := range callers {
				group.Go(func() {
					for i := range calls {
						id := fmt.Sprint(caller*calls + i)
						size, form := []int{0, 100, 70_000, 0, 100, 70_000, 100, 1_500_000}[i%8], []string{"size", "stream"}[i/8%2]
						body := strings.Repeat(id, i*37%2000)
						answer, err := send(front, id, fmt.Sprint(form, "=", size), body)
						if err == nil {
							err = checkAnswer(answer, id, body, size)
						}
						if err != nil {
							t.Errorf("call %s: %v", id, err)
							return
						}
					}
				})
			}
			group.Wait()
			back.log.mutex.Lock()
			defer back.log.mutex.Unlock()
			equal(t, "keys", len(back.log.runs), callers*calls)
			for key, runs := range back.log.runs {
				equal(t, "runs of "+key, runs, 1)
			}
		})
	}
}

// Guards against a shed request that is logged as run, or passed on as something else than not run.
func TestShedIsNotRun(t *testing.T) {
	front, back := startChain(t, 1, options{slots: 0})
	answer, err := send(front, "1", "", "")
	noError(t, err)
	equal(t, "verdict", answer.header.Get(hemlockhttp.HeaderVerdict), "not-run")
	recorder := httptest.NewRecorder()
	back.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/log/runs", nil))
	var runs map[string]int
	noError(t, json.Unmarshal(recorder.Body.Bytes(), &runs))
	equal(t, "runs", runs["1"], 0)
}

// Guards against a crash of the target that is reported as not run, or that leaves no trace in the log.
func TestCrashIsUnknown(t *testing.T) {
	front, back := startChain(t, 1, options{slots: 1, crash: func() { panic(http.ErrAbortHandler) }})
	request, err := http.NewRequest(http.MethodPost, front.URL+"/orders/orders", nil)
	noError(t, err)
	request.Header.Set(headerCrash, "1")
	request.Header.Set(headerKey, "k")
	answer, err := front.Client().Do(request)
	noError(t, err)
	noError(t, answer.Body.Close())
	equal(t, "verdict", answer.Header.Get(hemlockhttp.HeaderVerdict), "unknown")
	back.log.mutex.Lock()
	defer back.log.mutex.Unlock()
	equal(t, "runs", back.log.runs["k"], 1)
}

func noError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

func equal[T comparable](t testing.TB, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
