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

// startChain starts the data path from a caller to a target in one process: the caller interface and the peer client of
// one node, the peer server and the target client of another, and the target; without admission or any other decision.
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

// completeResponse is a response whose body was read to the end.
type completeResponse struct {
	status int
	header http.Header
	body   []byte
}

func send(front *httptest.Server, id, query, body string) (completeResponse, error) {
	request, err := http.NewRequest(http.MethodPost, front.URL+"/orders/orders?"+query, strings.NewReader(body))
	if err != nil {
		return completeResponse{}, err
	}
	request.Header.Set(headerID, id)
	request.Header.Set(headerKey, id)
	response, err := front.Client().Do(request)
	if err != nil {
		return completeResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return completeResponse{status: response.StatusCode, header: response.Header, body: content}, err
}

// checkResponse returns an error unless the response belongs to the request and is complete, by the digests that the
// target sent.
func checkResponse(response completeResponse, id, body string, size int) error {
	sent, got := sha256.Sum256([]byte(body)), sha256.Sum256(response.body)
	switch {
	case response.status != http.StatusOK:
		return fmt.Errorf("status %d: %s", response.status, response.body)
	case response.header.Get(headerID) != id:
		return fmt.Errorf("response to request %s", response.header.Get(headerID))
	case response.header.Get(headerBodyDigest) != hex.EncodeToString(sent[:]):
		return fmt.Errorf("the target received another body")
	case response.header.Get(headerResponseDigest) != hex.EncodeToString(got[:]) || len(response.body) != size:
		return fmt.Errorf("response of %d bytes is not the one that the target sent", len(response.body))
	}
	return nil
}

// Guards against responses that are truncated or reach the caller of another request, anywhere on the path from a caller
// to a target and back, with short, long and streamed bodies, and against a request that runs twice.
func TestEveryCallGetsItsOwnResponse(t *testing.T) {
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
						response, err := send(front, id, fmt.Sprint(form, "=", size), body)
						if err == nil {
							err = checkResponse(response, id, body, size)
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

// Guards against a shed request that the run log counts, or whose caller receives another verdict than not-run.
func TestShedRequestIsNotRun(t *testing.T) {
	front, back := startChain(t, 1, options{slots: 0})
	response, err := send(front, "1", "", "")
	noError(t, err)
	equal(t, "verdict", response.header.Get(hemlockhttp.HeaderVerdict), "not-run")
	recorder := httptest.NewRecorder()
	back.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/log/runs", nil))
	var runs map[string]int
	noError(t, json.Unmarshal(recorder.Body.Bytes(), &runs))
	equal(t, "runs", runs["1"], 0)
}

// Guards against a crash of the target whose request is reported as not run, or is missing in the run log.
func TestCrashHasUnknownOutcome(t *testing.T) {
	front, back := startChain(t, 1, options{slots: 1, crash: func() { panic(http.ErrAbortHandler) }})
	request, err := http.NewRequest(http.MethodPost, front.URL+"/orders/orders", nil)
	noError(t, err)
	request.Header.Set(headerCrash, "1")
	request.Header.Set(headerKey, "k")
	response, err := front.Client().Do(request)
	noError(t, err)
	noError(t, response.Body.Close())
	equal(t, "verdict", response.Header.Get(hemlockhttp.HeaderVerdict), "unknown")
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
