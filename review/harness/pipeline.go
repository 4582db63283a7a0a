package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// pipeline is a connection of a client that sends further safe requests before the first has been answered.
type pipeline struct {
	*client
	mutex   sync.Mutex
	waiting []*answer
	ended   bool
}

// send sends a request without waiting for its answer. It returns nil once the connection has ended.
func (p *pipeline) send(r request) *answer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return nil
	}
	a := &answer{request: r, sentAt: p.rec.now()}
	p.waiting = append(p.waiting, a)
	if err := p.client.send(r); err != nil {
		a.err = err
	}
	_ = p.conn.SetDeadline(time.Time{})
	return a
}

// receive reads the answers in the order of the requests until the connection ends or an answer closes it. Requests behind the latter
// count as not read.
func (p *pipeline) receive() {
	for {
		response, err := http.ReadResponse(p.reader, &http.Request{Method: http.MethodGet})
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		p.mutex.Lock()
		if err != nil {
			p.ended = true
			for _, a := range p.waiting {
				a.err, a.endedAt = err, p.rec.now()
				p.rec.log("client  %s ends without a complete answer: %v", a.id, err)
			}
			p.mutex.Unlock()
			return
		}
		a := p.waiting[0]
		p.waiting = p.waiting[1:]
		a.status, a.endedAt = response.StatusCode, p.rec.now()
		a.sealed = response.Header.Get("Response-Seal") != ""
		a.whole = response.Header.Get("Response-Seal") == seal(a.id, body)
		p.rec.log("client  %s is answered %d, whole %t, closes %t", a.id, a.status, a.whole, response.Close)
		if response.Close {
			p.ended = true
			for _, other := range p.waiting {
				other.behind, other.endedAt = true, p.rec.now()
				p.rec.log("client  %s was sent behind an answer that closes the connection", other.id)
			}
		}
		ended := p.ended
		p.mutex.Unlock()
		if ended {
			_ = p.conn.Close()
			return
		}
	}
}

// pipelineWork is the work of each request.
const pipelineWork = 250 * time.Millisecond

// casePipeline: a machine is stopped as planned while clients send safe requests behind each other on kept connections. Rule LOST.
func casePipeline(f *fleet, trouble bool) (verdict, error) {
	f.publish(7, safeRoute("browse", "catalogue"))
	machines, err := f.deploy("orders", "catalogue", "catalogue")
	if err != nil {
		return verdict{}, err
	}
	stopping := machines[0]
	var mutex sync.Mutex
	var sent []*answer
	stop := make(chan struct{})
	var wait sync.WaitGroup
	// The machine is the only one of its zone, so its clients go on while it isn't ready.
	for range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var p *pipeline
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if p == nil {
					c, err := dial(f.rec, stopping.outbound())
					if err != nil {
						continue
					}
					p = &pipeline{client: c}
					go p.receive()
				}
				a := p.send(get(fmt.Sprintf("/browse/%d/1500", pipelineWork.Milliseconds())))
				if a == nil {
					p = nil
					continue
				}
				mutex.Lock()
				sent = append(sent, a)
				mutex.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	termAt := f.rec.now()
	if trouble {
		stopping.stop()
	} else {
		time.Sleep(6 * time.Second)
	}
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	time.Sleep(time.Second)

	var v verdict
	ran := map[string]time.Duration{}
	for _, m := range machines {
		for _, r := range m.upstream.allRuns() {
			ran[r.id] = r.startedAt
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	for _, a := range sent {
		startedAt, ok := ran[a.id]
		if !ok || a.sentAt-termAt <= 3*time.Second {
			continue
		}
		switch {
		case a.err != nil:
			v.breach("LOST: request %s was sent %.3f s after SIGTERM on a kept connection, was passed on to its upstream, and the connection "+
				"ended without an answer", a.id, (a.sentAt - termAt).Seconds())
		case a.status >= http.StatusInternalServerError && !a.sealed && a.endedAt < startedAt+pipelineWork:
			v.breach("LOST: request %s was sent %.3f s after SIGTERM on a kept connection, its upstream was at work, and it was broken off "+
				"with a %d of the node's own", a.id, (a.sentAt - termAt).Seconds(), a.status)
		}
	}
	return v, nil
}
