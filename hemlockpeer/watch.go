package hemlockpeer

import (
	"sync"
	"time"
)

// watchInterval is how often the links with open calls are looked at; a third of the silence after which one is asked.
const watchInterval = linkSilence / 3

// watch looks at all links with open calls, with one timer: a timer for each link would wake a host with many links
// hundreds of times a second. It is safe for concurrent use; its mutex comes after that of a link.
type watch struct {
	mutex sync.Mutex
	links map[*link]struct{}
	// running is set while the timer is.
	running bool
}

func newWatch() *watch {
	return &watch{links: map[*link]struct{}{}}
}

// add looks at a link until it has no open calls.
func (w *watch) add(l *link) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.links[l] = struct{}{}
	if !w.running {
		w.running = true
		time.AfterFunc(watchInterval, w.look)
	}
}

func (w *watch) look() {
	w.mutex.Lock()
	links := w.links
	w.links = make(map[*link]struct{}, len(links))
	w.running = false
	w.mutex.Unlock()
	for l := range links {
		if l.look() {
			w.add(l)
		}
	}
}
