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

// outcome is the outcome of a request as its caller sees it.
type outcome int

const (
	// outcomeComplete is a complete response to the caller's own request.
	outcomeComplete outcome = iota
	// outcomeNotRun and outcomeUnknown are refusals with the verdict not-run or unknown.
	outcomeNotRun
	outcomeUnknown
	// outcomeTruncated is a truncated response, or none: the connection failed or the caller's timeout expired.
	outcomeTruncated
	// outcomeWrong is a response to another request or with other content than the target sent.
	outcomeWrong
	// outcomeFailed is a response without a verdict and with another status than 200, such as an error of the target.
	outcomeFailed
	// outcomeUnreachable means that no node accepted a connection.
	outcomeUnreachable
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"whole", "not-run", "unknown", "broken", "wrong", "failed", "unreachable"}

type callers struct {
	entries []string
	retries int
	client  *http.Client
}

func newCallers(entries []string, retries int, timeout time.Duration) *callers {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 512,
		DisableCompression:  true,
	}
	return &callers{entries: entries, retries: retries, client: &http.Client{Transport: transport, Timeout: timeout}}
}

// run sends the requests of all classes at their rates, without waiting for responses, and returns when the last request
// has ended.
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

// request sends one request and retries it until it gets a complete response, even a wrong one, or the retries are used
// up.
func (c *callers) request(ctx context.Context, index int, kind class, n int, at time.Duration, collected *results) {
	key := ""
	if kind.withKey {
		key = uuid.Must(uuid.NewV7()).String()
	}
	id := uuid.NewString()
	start := time.Now()
	var final outcome
	var reason string
	attempts := 0
	for attempts <= c.retries {
		final, reason = c.send(ctx, kind, n+attempts, id, key)
		attempts++
		if final == outcomeComplete || final == outcomeWrong {
			break
		}
	}
	collected.add(index, at, time.Since(start), attempts, final, reason, key)
}

// send makes one attempt. It tries the next node only when a connection cannot be opened.
func (c *callers) send(ctx context.Context, kind class, n int, id, key string) (outcome, string) {
	for offset := range c.entries {
		result, reason := c.sendTo(ctx, c.entries[(n+offset)%len(c.entries)], kind, n, id, key)
		if result != outcomeUnreachable {
			return result, reason
		}
	}
	return outcomeUnreachable, ""
}

func (c *callers) sendTo(ctx context.Context, entry string, kind class, n int, id, key string) (outcome, string) {
	path := strings.ReplaceAll(kind.path, "{n}", strconv.Itoa(n))
	body := bytes.Repeat([]byte("x"), kind.body)
	request, err := http.NewRequestWithContext(ctx, kind.method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return outcomeFailed, err.Error()
	}
	// Without GetBody, the transport never retries a request by itself.
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "dial tcp") {
			return outcomeUnreachable, ""
		}
		return outcomeTruncated, "connection"
	}
	defer func() { _ = response.Body.Close() }()
	return classify(response, id, body), response.Header.Get("Hemlock-Reason")
}

func classify(response *http.Response, id string, body []byte) outcome {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return outcomeTruncated
	}
	switch response.Header.Get("Hemlock-Verdict") {
	case "not-run":
		return outcomeNotRun
	case "unknown":
		return outcomeUnknown
	}
	if response.StatusCode != http.StatusOK {
		return outcomeFailed
	}
	received, sent := sha256.Sum256(content), sha256.Sum256(body)
	if response.Header.Get("X-Request-Id") != id ||
		response.Header.Get("X-Answer-Digest") != hex.EncodeToString(received[:]) ||
		response.Header.Get("X-Body-Digest") != hex.EncodeToString(sent[:]) {
		return outcomeWrong
	}
	return outcomeComplete
}
