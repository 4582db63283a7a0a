package hemlocknode

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/platform/hemlockplatform"
	"hemlockhollow/standin/platform/store"
)

// waitTimeout is how long a test waits for a state; even on a busy machine it is reached far earlier.
const waitTimeout = 60 * time.Second

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	ticker, end := time.NewTicker(20*time.Millisecond), time.After(waitTimeout)
	defer ticker.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-end:
			t.Fatalf("condition not reached: %s", what)
		}
	}
}

// cluster is a set of nodes in this process that share a stand-in for the platform.
type cluster struct {
	*testing.T
	network      *network
	platform     string
	store        *store.Store
	seeds        []string
	startedNodes int
}

func newCluster(t *testing.T) *cluster {
	content := store.New()
	server := httptest.NewServer(store.NewHandler(content, 0))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	return &cluster{T: t, platform: address, store: content, network: &network{
		zones: map[string]string{address: "platform"}, blockedLinks: map[[2]string]bool{}, openConnections: map[[2]string][]net.Conn{},
	}}
}

func (c *cluster) publish(files ...string) {
	c.Helper()
	var changes []hemlockconfiguration.Change
	for i, text := range files {
		changes = append(changes, hemlockconfiguration.Change{Source: fmt.Sprint(i, ".hcl"), Text: []byte(text)})
	}
	client := hemlockplatform.New(c.platform, hemlockplatform.WithTimeout(waitTimeout))
	if _, err := hemlockconfiguration.NewPublisher(NewPublishingStore(client)).Publish(c.Context(), changes); err != nil {
		c.Fatal(err)
	}
}

type testNode struct {
	*Node
	callersAddress string
	// stop starts the graceful shutdown; done receives its result.
	stop context.CancelFunc
	done chan error
}

func listen(t *testing.T, host int) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.210.0.%d:0", host))
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (c *cluster) startNode(zone string, change func(*Settings)) *testNode {
	c.Helper()
	c.startedNodes++
	sockets := listeners{listen(c.T, c.startedNodes), listen(c.T, c.startedNodes), listen(c.T, c.startedNodes), listen(c.T, c.startedNodes)}
	settings := DefaultSettings()
	settings.CallersAddress, settings.TargetAddress = sockets.callers.Addr().String(), sockets.target.Addr().String()
	settings.PeersAddress, settings.OperatorsAddress = sockets.peers.Addr().String(), sockets.operators.Addr().String()
	settings.Zone, settings.Platform, settings.Seeds = zone, "http://"+c.platform, c.seeds
	settings.DrainGrace = 200 * time.Millisecond
	if change != nil {
		change(&settings)
	}
	c.network.addAddress(zone, settings.PeersAddress)
	c.seeds = append(c.seeds, settings.PeersAddress)
	built, closeNode := buildNode(settings, logr.Discard(), dialers{c.network.dial(zone), c.network.dial(zone)})
	built.createServers()
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{Node: built, callersAddress: settings.CallersAddress, stop: stop, done: make(chan error, 1)}
	go func() {
		n.done <- built.serve(ctx, sockets)
		closeNode()
	}()
	c.Cleanup(stop)
	return n
}

// testTarget is a target beside a node. It announces itself until silent is set.
type testTarget struct {
	runs   atomic.Int64
	silent atomic.Bool
}

func (c *cluster) startTarget(n *testNode, service string, handler http.HandlerFunc) *testTarget {
	target := &testTarget{}
	server := &httptest.Server{Listener: listen(c.T, 100+c.startedNodes), Config: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			target.runs.Add(1)
			handler(w, r)
		})}}
	server.Start()
	c.Cleanup(server.Close)
	body := fmt.Sprintf(`{"service":%q,"slots":80,"address":%q}`, service, server.Listener.Addr())
	go func() {
		for !target.silent.Load() && hemlockcall.Sleep(c.Context(), 500*time.Millisecond) {
			if response, err := http.Post("http://"+n.settings.TargetAddress+"/announce", "", strings.NewReader(body)); err == nil {
				_ = response.Body.Close()
			}
		}
	}()
	return target
}

// send sends one request and reads its response to the end. content is the body of the response. In a refusal, the verdict
// and the reason precede the body, without separators.
func send(method, url string, header http.Header) (status int, content string, err error) {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0, "", err
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Hemlock-Verdict") + response.Header.Get("Hemlock-Reason") + string(body), err
}
