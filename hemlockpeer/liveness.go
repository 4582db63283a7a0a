package hemlockpeer

import (
	"sync"
	"time"
)

// livenessCheckInterval is how often the connections with pending calls are checked: a third of the silence after which a
// probe is sent.
const livenessCheckInterval = probeAfter / 3

// livenessMonitor checks all connections with pending calls by one timer; a timer for each connection would wake a host
// with many connections hundreds of times a second. It is safe for concurrent use. Lock order: the mutex of a connection
// is locked before that of the monitor.
type livenessMonitor struct {
	mutex        sync.Mutex
	connections  map[*relayConnection]struct{}
	timerRunning bool
}

func newLivenessMonitor() *livenessMonitor {
	return &livenessMonitor{connections: map[*relayConnection]struct{}{}}
}

// add monitors a connection until it has no pending calls.
func (m *livenessMonitor) add(c *relayConnection) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.connections[c] = struct{}{}
	if !m.timerRunning {
		m.timerRunning = true
		time.AfterFunc(livenessCheckInterval, m.checkAll)
	}
}

func (m *livenessMonitor) checkAll() {
	m.mutex.Lock()
	connections := m.connections
	m.connections = make(map[*relayConnection]struct{}, len(connections))
	m.timerRunning = false
	m.mutex.Unlock()
	for c := range connections {
		if c.checkLiveness() {
			m.add(c)
		}
	}
}
