// Command target simulates a service instance beside a node, for the demo, tests and measurements. It is not part of the
// product.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
)

// drainTimeout limits how long a target that stops waits for the requests in flight.
const drainTimeout = 30 * time.Second

type flags struct {
	listen          string
	node            string
	service         string
	slots           int
	serviceTime     time.Duration
	spread          float64
	seed            uint64
	slowStart       time.Duration
	slowStartFactor float64
	alwaysHealthy   bool
	downstream      string
}

func parseFlags() flags {
	f := flags{listen: "127.0.0.1:0", slots: 10, serviceTime: 5 * time.Millisecond, spread: 0.5, seed: 1, slowStartFactor: 3}
	flaggy.SetName("target")
	flaggy.SetDescription("simulates a service instance beside a node")
	flaggy.String(&f.listen, "", "listen", "address to listen on")
	flaggy.String(&f.node, "", "node", "address of the node's listener for the local target")
	flaggy.String(&f.service, "", "service", "service name")
	flaggy.Int(&f.slots, "", "slots", "requests that run concurrently; more are refused with status 503")
	flaggy.Duration(&f.serviceTime, "", "service-time", "mean service time")
	flaggy.Float64(&f.spread, "", "spread", "relative spread of the service time, 0 to 1")
	flaggy.UInt64(&f.seed, "", "seed", "seed of the service times")
	flaggy.Duration(&f.slowStart, "", "cold", "how long the target is slow after its start")
	flaggy.Float64(&f.slowStartFactor, "", "cold-factor", "factor on the service time while the target is slow after its start")
	flaggy.Bool(&f.alwaysHealthy, "", "lie", "always report good health")
	flaggy.String(&f.downstream, "", "downstream", "comma-separated calls through the node: [METHOD ]/SERVICE/PATH")
	flaggy.Parse()
	return f
}

func main() {
	if err := run(parseFlags()); err != nil {
		fmt.Fprintln(os.Stderr, "target:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	t := newTarget(options{
		slots: f.slots, serviceTime: f.serviceTime, spread: f.spread, seed: f.seed,
		slowStart: f.slowStart, slowStartFactor: f.slowStartFactor, alwaysHealthy: f.alwaysHealthy, crash: func() { os.Exit(3) },
	})
	if f.downstream != "" {
		t.downstream = &downstream{node: f.node, calls: strings.Split(f.downstream, ","), client: &http.Client{}}
	}
	server := &http.Server{Handler: t, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Println("listening on", listener.Addr())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if f.node != "" {
			a := &announcer{node: f.node, service: f.service, slots: f.slots, address: listener.Addr().String()}
			a.run(ctx)
			return
		}
		<-ctx.Done()
	}()
	select {
	case <-stopped:
	case err := <-served:
		return err
	}
	t.draining.Store(true)
	drainContext, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return server.Shutdown(drainContext)
}
