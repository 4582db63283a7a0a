package hemlockpeer

import (
	"context"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

const (
	// withdrawInterval is the interval between the messages that withdraw a call. A message may overtake its call, which uses another
	// connection, and may be lost.
	withdrawInterval = 50 * time.Millisecond
	// maxWithdrawnPerMessage limits the calls that one message withdraws.
	maxWithdrawnPerMessage = 1024
)

// sentCalls are the calls of customers that a Client has in flight, by call id. They exclude nested calls, which belong to requests that
// targets run. It is safe for concurrent use.
type sentCalls struct {
	mutex     sync.Mutex
	addresses map[uint64]string
}

// add records a call. The returned function removes it.
func (s *sentCalls) add(id uint64, address string, request *hemlockcall.Request) (remove func()) {
	if request.Context.Depth > 0 {
		return func() {}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.addresses[id] = address
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.addresses, id)
	}
}

// byAddress returns the ids of the calls by the address of their peer.
func (s *sentCalls) byAddress() map[string][]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ids := map[string][]uint64{}
	for id, address := range s.addresses {
		if len(ids[address]) < maxWithdrawnPerMessage {
			ids[address] = append(ids[address], id)
		}
	}
	return ids
}

// Withdraw withdraws the calls of customers that peers have not passed to their targets: they are refused as not run. The others keep
// their response. A stopping node calls it once it sends no more of them. Withdraw returns when none is in flight or the context ends.
func (c *Client) Withdraw(ctx context.Context) {
	for {
		calls := c.sent.byAddress()
		if len(calls) == 0 {
			return
		}
		var messages sync.WaitGroup
		for address, ids := range calls {
			messages.Go(func() { c.withdraw(ctx, address, ids) })
		}
		messages.Wait()
		if !hemlockcall.Sleep(ctx, withdrawInterval) {
			return
		}
	}
}

// withdraw sends one message. A failure is ignored, because the message is repeated.
func (c *Client) withdraw(ctx context.Context, address string, ids []uint64) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.connectTimeout)
	defer cancel()
	_ = c.sendControl(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) error {
		_, err := node.Withdraw(ctx, &hemlockwire.Withdrawal{Calls: ids})
		return err
	})
}

// servedCalls are the calls that a Server has in flight, by call id, each with the channel that is closed when it is withdrawn. It is
// safe for concurrent use.
type servedCalls struct {
	mutex     sync.Mutex
	withdrawn map[uint64]chan struct{}
}

// add records a call, and returns the channel that is closed when it is withdrawn and a function that removes it.
func (s *servedCalls) add(id uint64) (withdrawn <-chan struct{}, remove func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	channel := make(chan struct{})
	s.withdrawn[id] = channel
	return channel, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.withdrawn[id] == channel {
			delete(s.withdrawn, id)
		}
	}
}

// withdraw withdraws a call if it is in flight.
func (s *servedCalls) withdraw(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if channel, ok := s.withdrawn[id]; ok {
		close(channel)
		delete(s.withdrawn, id)
	}
}

// Withdraw implements hemlockwire.DRPCNodeServer.
func (s *service) Withdraw(_ context.Context, withdrawal *hemlockwire.Withdrawal) (*hemlockwire.Withdrawn, error) {
	for _, id := range withdrawal.GetCalls() {
		s.server.calls.withdraw(id)
	}
	return &hemlockwire.Withdrawn{}, nil
}
