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

// attemptCounter counts the attempts of each call that reached a target. Calls made by different attempts of the same parent
// call are different calls: their names contain the number of the parent's attempt.
type attemptCounter struct {
	mutex  sync.Mutex
	random *rand.Rand
	counts map[string]int
}

// record counts an attempt. It returns its number and a random value from which unreliableTarget derives how it ends. For
// requests whose name starts with "healthy", a quarter as many attempts fail.
func (a *attemptCounter) record(call string) (number int, randomValue float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts[call]++
	randomValue = a.random.Float64()
	if strings.HasPrefix(call, "healthy") {
		randomValue = 4 * randomValue
	}
	return a.counts[call], randomValue
}

// retries returns the number of attempts beyond the first one, summed over all calls of one customer request.
func (a *attemptCounter) retries(request string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	retries := 0
	for call, count := range a.counts {
		if strings.HasPrefix(call, request+"/") {
			retries += count - 1
		}
	}
	return retries
}

// unreliableTarget is the handler of a target that calls the next service of the chain. At random it refuses the request,
// fails, or truncates its response.
func (a *attemptCounter) unreliableTarget(n *testNode, depth int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call := r.Header.Get(headerCall)
		number, randomValue := a.record(call)
		switch {
		case randomValue < 0.1:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case randomValue < 0.3:
			panic(http.ErrAbortHandler)
		}
		for i := range chainFanOut {
			if depth == chainDepth {
				break
			}
			header := http.Header{"Traceparent": r.Header["Traceparent"], headerCall: {fmt.Sprintf("%s.%d/%d", call, number, i)}}
			url := fmt.Sprintf("http://%s/chain-%d/x", n.settings.TargetAddress, depth+1)
			// Errors are ignored, as by a page that is shown without the failed part, so that the complete call tree is
			// executed. The call tree is the customer request with all its nested calls.
			_, _, _ = send(http.MethodGet, url, header)
		}
		switch {
		case randomValue < 0.35:
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
			panic(http.ErrAbortHandler)
		case randomValue < 0.4:
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, call)
	}
}

// Guards against retries that multiply along the call chain (guarantee 1 of the design).
func TestRetryBudgetLimitsCallTree(t *testing.T) {
	c := newCluster(t)
	var files []string
	for depth := range chainDepth {
		file := strings.Replace(pagesFile, "retries = 0", fmt.Sprintf("retries = %d", chainRetries), 1)
		files = append(files, strings.Replace(file, `service "pages"`, fmt.Sprintf(`service "chain-%d"`, depth+1), 1))
	}
	c.publish(files...)
	counter := &attemptCounter{random: rand.New(rand.NewPCG(7, 7)), counts: map[string]int{}}
	var nodes []*testNode
	for i := range 2 * chainDepth {
		n := c.startNode("a", nil)
		nodes = append(nodes, n)
		c.startTarget(n, fmt.Sprintf("chain-%d", i/2+1), counter.unreliableTarget(n, i/2+1))
	}
	eventually(t, "all nodes see all targets and have a configuration", func() bool {
		for _, n := range nodes {
			if n.readyTargets() != len(nodes) || n.version() == 0 {
				return false
			}
		}
		return true
	})
	var succeeded, retries int
	for index := range 40 {
		// The caller retries a request that failed.
		for attempt := range 3 {
			request := fmt.Sprintf("%s-%d-%d", []string{"healthy", "faulty"}[index%2], index, attempt)
			header := http.Header{headerCall: {request + "/"}}
			url := fmt.Sprintf("http://%s/chain-1/%d", nodes[index%len(nodes)].callersAddress, index)
			status, text, err := send(http.MethodGet, url, header)
			if err != nil {
				t.Fatalf("request %s got no response: %v", request, err)
			}
			used := counter.retries(request)
			if retries += used; used > chainRetries {
				t.Errorf("request %s used %d retries, want at most %d", request, used, chainRetries)
			}
			if status == http.StatusOK && text == request+"/" {
				succeeded++
				break
			}
		}
	}
	if succeeded == 0 || retries == 0 {
		t.Errorf("%d requests succeeded with %d retries; want more than 0 of both, or the test checks nothing", succeeded, retries)
	}
	t.Logf("%d of 40 requests succeeded, with %d retries", succeeded, retries)
}
