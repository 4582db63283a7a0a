package hemlocknode

import (
	"context"
	"net"
	"sync"
)

// network opens the connections of nodes and cuts them by the zones that they join.
type network struct {
	mutex sync.Mutex
	zones map[string]string
	cuts  map[[2]string]bool
	open  map[[2]string][]net.Conn
}

func (n *network) dial(zone string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		link := n.link(zone, address)
		if n.isCut(link) {
			// Packets of a cut link are lost, so an attempt ends with its time.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		connection, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if err != nil {
			return nil, err
		}
		if !n.cuts[link] {
			n.open[link] = append(n.open[link], connection)
			return connection, nil
		}
		// The link was cut meanwhile.
		_ = connection.Close()
		return nil, net.ErrClosed
	}
}

func (n *network) link(zone, address string) [2]string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return [2]string{min(zone, n.zones[address]), max(zone, n.zones[address])}
}

func (n *network) isCut(link [2]string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[link]
}

// set cuts or heals the link between two zones; a cut ends its open connections.
func (n *network) set(one, other string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link := [2]string{min(one, other), max(one, other)}
	n.cuts[link] = cut
	for _, c := range n.open[link] {
		_ = c.Close()
	}
	n.open[link] = nil
}

// join puts an address into a zone.
func (n *network) join(zone, address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[address] = zone
}
