package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// end is how a request ended for its caller.
type end int

const (
	// endWhole is a complete answer to the caller's own request.
	endWhole end = iota
	// endNotRun and endUnknown are refusals.
	endNotRun
	endUnknown
	// endBroken is an answer that broke off, or a connection that did while the caller waited for one.
	endBroken
	// endWrong is an answer to another request or with other content than the target sent.
	endWrong
	// endFailed is an error status of the target.
	endFailed
	// endUnreachable is a connection that no node accepted.
	endUnreachable
	ends
)

var endNames = [ends]string{"whole", "not-run", "unknown", "broken", "wrong", "failed", "unreachable"}

type callers struct {
	entries []string
	repeats int
	client  *http.Client
}

func newCallers(entries []string, repeats int, timeout time.Duration) *callers {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 512,
		DisableCompression:  true,
	}
	return &callers{entries: entries, repeats: repeats, client: &http.Client{Transport: transport, Timeout: timeout}}
}

// run sends all classes at their rates, without waiting for answers, and returns when the last request has ended.
func (c *callers) run(ctx context.Context, classes []class, duration time.Duration) *results {
	collected := newResults(classes, duration)
	var sending, running sync.WaitGroup
	for i, kind := range classes {
		sending.Go(func() {
			interval := time.Duration(float64(time.Second) / kind.rate)
			start := time.Now()
			for n := 0; ; n++ {
				due := start.Add(time.Duration(n) * interval)
				if due.Sub(start) >= duration {
					return
				}
				time.Sleep(time.Until(due))
				running.Go(func() { c.request(ctx, i, kind, n, time.Since(start), collected) })
			}
		})
	}
	sending.Wait()
	running.Wait()
	collected.summarise()
	return collected
}

// request sends one request until it is answered or the repeats are used up.
func (c *callers) request(ctx context.Context, index int, kind class, n int, at time.Duration, collected *results) {
	key := ""
	if kind.once {
		key = uuid.Must(uuid.NewV7()).String()
	}
	id := uuid.NewString()
	began := time.Now()
	var ended end
	var reason string
	sent := 0
	for sent <= c.repeats {
		ended, reason = c.send(ctx, kind, n+sent, id, key)
		sent++
		if ended == endWhole || ended == endWrong {
			break
		}
	}
	collected.add(index, at, time.Since(began), sent, ended, reason, key)
}

// send makes one attempt. Only a connection that cannot be opened leads to the next node.
func (c *callers) send(ctx context.Context, kind class, n int, id, key string) (end, string) {
	for try := range c.entries {
		ended, reason := c.sendTo(ctx, c.entries[(n+try)%len(c.entries)], kind, n, id, key)
		if ended != endUnreachable {
			return ended, reason
		}
	}
	return endUnreachable, ""
}

func (c *callers) sendTo(ctx context.Context, entry string, kind class, n int, id, key string) (end, string) {
	path := strings.ReplaceAll(kind.path, "{n}", strconv.Itoa(n))
	body := bytes.Repeat([]byte("x"), kind.body)
	request, err := http.NewRequestWithContext(ctx, kind.method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return endFailed, err.Error()
	}
	// Without GetBody the transport never sends a request again by itself.
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "dial tcp") {
			return endUnreachable, ""
		}
		return endBroken, "connection"
	}
	defer func() { _ = response.Body.Close() }()
	return judge(response, id, body), response.Header.Get("Hemlock-Reason")
}

func judge(response *http.Response, id string, body []byte) end {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return endBroken
	}
	switch response.Header.Get("Hemlock-Verdict") {
	case "not-run":
		return endNotRun
	case "unknown":
		return endUnknown
	}
	if response.StatusCode != http.StatusOK {
		return endFailed
	}
	received, sent := sha256.Sum256(text), sha256.Sum256(body)
	if response.Header.Get("X-Request-Id") != id ||
		response.Header.Get("X-Answer-Digest") != hex.EncodeToString(received[:]) ||
		response.Header.Get("X-Body-Digest") != hex.EncodeToString(sent[:]) {
		return endWrong
	}
	return endWhole
}
