package hemlocknode

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockcaller"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockoperator"
	"hemlockhollow/hemlockpeer"
	"hemlockhollow/hemlocktarget"
)

// Node is the process beside a target: it receives the calls to the target and sends the calls that the target makes.
type Node struct {
	settings             Settings
	log                  logr.Logger
	metrics              *Metrics
	calls                *CallHandler
	server               *Server
	dispatcher           *Dispatcher
	health               *TargetHealth
	gossipDriver         *hemlockgossip.Driver
	configurationWatcher *ConfigurationWatcher
	seeds                *Seeds
	claimSweeper         *ClaimSweeper
	claims               *platformClaims
	reporter             *Reporter
	drain                *hemlockdrain.Drain

	callers   *hemlockcaller.Server
	target    *hemlocktarget.Server
	peers     *hemlockpeer.Server
	operators *http.Server
}

// listeners are the listening sockets of a node. All are opened before the first request is served, so that the start fails
// if an address cannot be used.
type listeners struct {
	callers, target, peers, operators net.Listener
}

// Run runs a node until the context ends or a server fails, and then shuts it down gracefully.
func Run(ctx context.Context, settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	log, err := NewLog(settings.LogLevel)
	if err != nil {
		return hemlockerror.Wrap("open log", KindSetting, err)
	}
	node, closeNode := buildNode(settings, log, dialers{})
	defer closeNode()
	node.createServers()
	sockets, err := openListeners(settings)
	if err != nil {
		return err
	}
	go node.dumpOnSignal(ctx)
	return node.serve(ctx, sockets)
}

func (n *Node) createServers() {
	n.callers = hemlockcaller.New(
		func(ctx context.Context, r *hemlockcall.Request, from hemlockcaller.Caller) (*hemlockcall.Response, error) {
			return n.calls.HandleCaller(ctx, r, Credentials(from))
		})
	n.target = hemlocktarget.NewServer(hemlocktarget.Handlers{
		Announce: n.health.HandleAnnouncement,
		Drain:    n.health.HandleDrain,
		Outgoing: n.calls.HandleOutgoing,
	})
	options := []hemlockpeer.Option{
		hemlockpeer.WithGossipHandler(n.gossipDriver.Receive),
		hemlockpeer.WithConfigurationHandler(n.configurationWatcher.serveQuery),
		hemlockpeer.WithScope(n.metrics.scope),
	}
	if n.claims.batcher != nil {
		options = append(options, hemlockpeer.WithClaimHandler(handleClaims(n.claims.batcher)))
	}
	options = append(options, hemlockpeer.WithPanicHandler(func(panicErr error) { n.log.Error(panicErr, "connection to a peer ended") }))
	n.peers = hemlockpeer.NewServer(n.server, options...)
	n.operators = hemlockoperator.New(
		hemlockoperator.WithMetrics(n.metrics.Handler()),
		hemlockoperator.WithState(func() any { return n.reporter.State() }),
		hemlockoperator.WithReady(n.reporter.ready),
	).HTTP()
}

func openListeners(s Settings) (listeners, error) {
	var opened listeners
	for _, l := range []struct {
		flag, address string
		socket        *net.Listener
	}{
		{"callers-address", s.CallersAddress, &opened.callers},
		{"target-address", s.TargetAddress, &opened.target},
		{"peers-address", s.PeersAddress, &opened.peers},
		{"operators-address", s.OperatorsAddress, &opened.operators},
	} {
		socket, err := net.Listen("tcp", l.address)
		if err != nil {
			return opened, hemlockerror.Wrap("open --"+l.flag, KindListen, err)
		}
		*l.socket = socket
	}
	return opened, nil
}

// serve runs all servers and background tasks until the context ends or a server fails, and then shuts down.
func (n *Node) serve(ctx context.Context, sockets listeners) error {
	// The background tasks continue during the shutdown, because requests in flight still need the membership view and the
	// claims.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	for _, task := range []func(context.Context){
		n.server.RefuseLate, n.health.watchAnnouncements, n.gossipDriver.Run, n.configurationWatcher.run, n.seeds.run,
		n.claimSweeper.run, n.reporter.run,
	} {
		go task(background)
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.callers.Serve(sockets.callers) })
	group.Go(func() error { return n.target.Serve(sockets.target) })
	group.Go(func() error { return n.peers.Serve(background, sockets.peers) })
	group.Go(func() error {
		if err := n.operators.Serve(sockets.operators); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	n.log.Info("node started", "zone", n.settings.Zone, "peers-address", n.settings.PeersAddress)
	<-groupCtx.Done()
	// When one server has failed, the others are shut down too; otherwise the node would still count as ready.
	err := n.shutdown()
	stopBackground()
	if failure := group.Wait(); failure != nil {
		return failure
	}
	return err
}

// dumpOnSignal writes the state dump to standard error on SIGUSR1.
func (n *Node) dumpOnSignal(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			if text, err := hemlockoperator.EncodeState(n.reporter.State()); err == nil {
				_, _ = os.Stderr.Write(text)
			}
		}
	}
}
