package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
)

// downstream sends the nested calls of a target through its node, one after the other.
type downstream struct {
	node   string
	calls  []string
	client *http.Client
}

func (d *downstream) run(ctx context.Context, traceparent string) error {
	for _, c := range d.calls {
		if err := d.call(ctx, strings.TrimSpace(c), traceparent); err != nil {
			return err
		}
	}
	return nil
}

func (d *downstream) call(ctx context.Context, call, traceparent string) error {
	method, path, found := strings.Cut(call, " ")
	if !found {
		method, path = http.MethodGet, call
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.node+path, nil)
	if err != nil {
		return err
	}
	if traceparent != "" {
		request.Header.Set("Traceparent", traceparent)
	}
	if method != http.MethodGet {
		key, err := uuid.NewV7()
		if err != nil {
			return err
		}
		request.Header.Set("Idempotency-Key", key.String())
	}
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s: status %d, reason %s", call, response.StatusCode, response.Header.Get("Hemlock-Reason"))
	}
	return nil
}
