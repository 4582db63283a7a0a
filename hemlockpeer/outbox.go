package hemlockpeer

import (
	"slices"
	"sync"

	"storj.io/drpc"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// maximumOutbox bounds the bytes that wait for a peer that does not read.
const maximumOutbox = 32 << 20

// batchBytes bounds the bodies in one message, in bytes. A peer is heard of only when a whole message has arrived, and a
// probe waits for the message before it: on a link of 10 Mbit/s that takes 200 ms.
const batchBytes = 256 << 10

// batchStream is the sending half of either end of a Carry stream.
type batchStream interface {
	drpc.Stream
	Send(batch *hemlockwire.Batch) error
}

// outbox collects the parcels of all calls of one stream and sends what has gathered in one message, so that a busy
// stream needs one system call for many calls. It is safe for concurrent use.
type outbox struct {
	wake chan struct{}

	mutex   sync.Mutex
	parcels []*hemlockwire.Parcel
	bytes   int
	closed  bool
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1)}
}

// put queues parcels in their order. Nothing of them is sent when it returns an error.
func (o *outbox) put(parcels ...*hemlockwire.Parcel) error {
	size := 0
	for _, p := range parcels {
		size += len(p.Body)
	}
	o.mutex.Lock()
	if o.closed {
		o.mutex.Unlock()
		return hemlockerror.New("send", KindClosed, "the stream has ended")
	}
	if o.bytes > 0 && o.bytes+size > maximumOutbox {
		o.mutex.Unlock()
		return hemlockerror.New("send", KindCapacity, "too much waits for the peer")
	}
	o.parcels = append(o.parcels, parcels...)
	o.bytes += size
	o.mutex.Unlock()
	o.signal()
	return nil
}

// putProbe queues a probe before all that waits: long bodies must not make a live peer look silent. A stream that has ended
// drops it.
func (o *outbox) putProbe(value uint32) {
	o.mutex.Lock()
	if !o.closed {
		o.parcels = slices.Insert(o.parcels, 0, &hemlockwire.Parcel{Probe: value})
	}
	o.mutex.Unlock()
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// withdraw takes a call's first parcel back; it returns false when the parcel was sent or is being sent.
func (o *outbox) withdraw(call uint64) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	kept, found := o.parcels[:0], false
	for _, p := range o.parcels {
		if p.Call != call {
			kept = append(kept, p)
			continue
		}
		o.bytes -= len(p.Body)
		found = found || p.Request != nil
	}
	clear(o.parcels[len(kept):])
	o.parcels = kept
	return found
}

// run sends until the stream breaks or done is closed.
func (o *outbox) run(stream batchStream, done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		case <-o.wake:
		}
		for {
			batch := o.take()
			if len(batch) == 0 {
				break
			}
			err := stream.Send(&hemlockwire.Batch{Parcels: batch})
			if err == nil {
				err = flush(stream)
			}
			if err != nil {
				return hemlockerror.Wrap("send", KindConnection, err)
			}
		}
	}
}

// take returns waiting parcels up to the size of one message.
func (o *outbox) take() []*hemlockwire.Parcel {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	count, size := 0, 0
	for count < len(o.parcels) && (count == 0 || size+len(o.parcels[count].Body) <= batchBytes) {
		size += len(o.parcels[count].Body)
		count++
	}
	batch := o.parcels[:count:count]
	o.parcels = o.parcels[count:]
	if len(o.parcels) == 0 {
		o.parcels = nil
	}
	o.bytes -= size
	return batch
}

// close refuses further parcels and drops the waiting ones.
func (o *outbox) close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closed, o.parcels, o.bytes = true, nil, 0
}
