package hemlocknode

import (
	"context"
	"net"
	"sync"
)

// network opens the connections of nodes and can block the link between two zones.
type network struct {
	mutex           sync.Mutex
	zones           map[string]string
	blockedLinks    map[[2]string]bool
	openConnections map[[2]string][]net.Conn
}

// dial returns the function by which the nodes of a zone open connections.
func (n *network) dial(zone string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		link := n.link(zone, address)
		if n.isBlocked(link) {
			// The packets on a blocked link are lost, so a connection attempt ends with its context.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		connection, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if err != nil {
			return nil, err
		}
		if !n.blockedLinks[link] {
			n.openConnections[link] = append(n.openConnections[link], connection)
			return connection, nil
		}
		// The link was blocked while the connection was being opened.
		_ = connection.Close()
		return nil, net.ErrClosed
	}
}

// link returns the key of the link between a zone and the zone of an address; it is the same in both directions.
func (n *network) link(zone, address string) [2]string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return [2]string{min(zone, n.zones[address]), max(zone, n.zones[address])}
}

func (n *network) isBlocked(link [2]string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.blockedLinks[link]
}

// setBlocked blocks or unblocks the link between two zones. It closes the open connections of the link.
func (n *network) setBlocked(one, other string, blocked bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link := [2]string{min(one, other), max(one, other)}
	n.blockedLinks[link] = blocked
	for _, c := range n.openConnections[link] {
		_ = c.Close()
	}
	n.openConnections[link] = nil
}

// addAddress assigns an address to a zone.
func (n *network) addAddress(zone, address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[address] = zone
}
