package hemlocknode

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
)

const (
	chainDepth   = 4
	chainFanOut  = 2
	chainRetries = 3
	headerCall   = "X-Call"
)

// attempts counts the attempts of each call that reached a target. A call that a repeated parent makes is another
// call; its name holds the number of the parent's attempt.
type attempts struct {
	mutex  sync.Mutex
	random *rand.Rand
	counts map[string]int
}

// begin returns the number of this attempt and what becomes of it.
func (a *attempts) begin(call string) (number int, fate float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts[call]++
	fate = a.random.Float64()
	if strings.HasPrefix(call, "healthy") {
		fate = 4 * fate
	}
	return a.counts[call], fate
}

// extra returns the attempts beyond the first of each call below one customer request.
func (a *attempts) extra(request string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	extra := 0
	for call, count := range a.counts {
		if strings.HasPrefix(call, request+"/") {
			extra += count - 1
		}
	}
	return extra
}

// faulty is a target that calls the next service of the chain, and fails, refuses or breaks off at random.
func (a *attempts) faulty(n *testNode, depth int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call := r.Header.Get(headerCall)
		number, fate := a.begin(call)
		switch {
		case fate < 0.1:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case fate < 0.3:
			panic(http.ErrAbortHandler)
		}
		for i := range chainFanOut {
			if depth == chainDepth {
				break
			}
			header := http.Header{"Traceparent": r.Header["Traceparent"], headerCall: {fmt.Sprintf("%s.%d/%d", call, number, i)}}
			url := fmt.Sprintf("http://%s/chain-%d/x", n.settings.TargetAddress, depth+1)
			// A page is shown without the part that failed, so that the whole tree is walked.
			_, _, _ = send(http.MethodGet, url, header)
		}
		switch {
		case fate < 0.35:
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
			panic(http.ErrAbortHandler)
		case fate < 0.4:
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, call)
	}
}

// Guards against retries that multiply along the call chain (guarantee 1).
func TestRetriesOfCallChainAreBounded(t *testing.T) {
	c := newCluster(t)
	var files []string
	for depth := range chainDepth {
		file := strings.Replace(pagesFile, "retries = 0", fmt.Sprintf("retries = %d", chainRetries), 1)
		files = append(files, strings.Replace(file, `service "pages"`, fmt.Sprintf(`service "chain-%d"`, depth+1), 1))
	}
	c.publish(files...)
	made := &attempts{random: rand.New(rand.NewPCG(7, 7)), counts: map[string]int{}}
	var nodes []*testNode
	for i := range 2 * chainDepth {
		n := c.node("a", nil)
		nodes = append(nodes, n)
		c.target(n, fmt.Sprintf("chain-%d", i/2+1), made.faulty(n, i/2+1))
	}
	eventually(t, "all nodes know each other", func() bool {
		for _, n := range nodes {
			if n.ready() != len(nodes) || n.version() == 0 {
				return false
			}
		}
		return true
	})
	var answered, extra int
	for customer := range 40 {
		// The caller repeats a request that failed.
		for repeat := range 3 {
			request := fmt.Sprintf("%s-%d-%d", []string{"healthy", "faulty"}[customer%2], customer, repeat)
			header := http.Header{headerCall: {request + "/"}}
			url := fmt.Sprintf("http://%s/chain-1/%d", nodes[customer%len(nodes)].callers, customer)
			status, text, err := send(http.MethodGet, url, header)
			if err != nil {
				t.Fatalf("request %s got no answer: %v", request, err)
			}
			spent := made.extra(request)
			if extra += spent; spent > chainRetries {
				t.Errorf("request %s took %d extra attempts, allowed are %d", request, spent, chainRetries)
			}
			if status == http.StatusOK && text == request+"/" {
				answered++
				break
			}
		}
	}
	if answered == 0 || extra == 0 {
		t.Errorf("%d requests were answered with %d extra attempts; the test shows nothing", answered, extra)
	}
	t.Logf("%d of 40 requests were answered, with %d extra attempts", answered, extra)
}
