package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// announcer registers the target at its node, again every second, and deregisters it when it stops.
type announcer struct {
	node    string
	service string
	slots   int
	address string
}

type announcement struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Address string `json:"address"`
	// Instance distinguishes this process from a previous one at the same address.
	Instance string `json:"instance"`
}

// run registers the target until the context ends and then deregisters it.
func (a *announcer) run(ctx context.Context) {
	body, err := json.Marshal(announcement{Service: a.service, Slots: a.slots, Address: a.address, Instance: uuid.NewString()})
	if err != nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		// An announcement that failed is not retried, because the next one follows in a second.
		a.post("/announce", body)
		select {
		case <-tick.C:
		case <-ctx.Done():
			a.post("/drain", nil)
			return
		}
	}
}

func (a *announcer) post(path string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.node+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
