package hemlockpeer

import (
	"slices"
	"sync"

	"storj.io/drpc"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// maxQueuedBytes limits the total size of the bodies, in bytes, that are queued for a peer that does not read. One request
// or response is accepted whatever its size while no body is queued.
const maxQueuedBytes = 32 << 20

// maxBatchBytes limits the total size of the bodies in one message, in bytes. A peer counts as alive only when a whole
// message of it has arrived, and a probe waits for the message before it: at 10 Mbit/s a message of this size takes
// 200 ms.
const maxBatchBytes = 256 << 10

// batchStream is what the client's and the server's end of a Carry stream have in common for sending.
type batchStream interface {
	drpc.Stream
	Send(batch *hemlockwire.Batch) error
}

// sendQueue queues the parcels of all calls of one stream and sends all that are queued as one message, up to
// maxBatchBytes, so that a busy stream needs one system call for many calls. It is safe for concurrent use.
type sendQueue struct {
	wake chan struct{}

	mutex   sync.Mutex
	parcels []*hemlockwire.Parcel
	bytes   int // size of the bodies in parcels
	closed  bool
}

func newSendQueue() *sendQueue {
	return &sendQueue{wake: make(chan struct{}, 1)}
}

// put appends parcels to the queue. When it returns an error, none of them is sent. Parcels without a body are refused only when the
// stream has ended.
func (q *sendQueue) put(parcels ...*hemlockwire.Parcel) error {
	size := 0
	for _, p := range parcels {
		size += len(p.Body)
	}
	q.mutex.Lock()
	if q.closed {
		q.mutex.Unlock()
		return hemlockerror.New("send", KindClosed, "the stream has ended")
	}
	if size > 0 && q.bytes > 0 && q.bytes+size > maxQueuedBytes {
		q.mutex.Unlock()
		return hemlockerror.New("send", KindCapacity, "the send queue is full")
	}
	q.parcels = append(q.parcels, parcels...)
	q.bytes += size
	q.mutex.Unlock()
	q.wakeSender()
	return nil
}

// putProbe queues a probe in front of all other parcels, so that a live peer does not look silent because of long bodies.
// The probe is dropped when the stream has ended.
func (q *sendQueue) putProbe(value uint32) {
	q.mutex.Lock()
	if !q.closed {
		q.parcels = slices.Insert(q.parcels, 0, &hemlockwire.Parcel{Probe: value})
	}
	q.mutex.Unlock()
	q.wakeSender()
}

func (q *sendQueue) wakeSender() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// remove deletes the queued parcels of a call. It returns true if the last parcel of the request was among them, so that the peer
// cannot have started the call, and false if that parcel was sent or is being sent.
func (q *sendQueue) remove(call uint64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	kept, found := q.parcels[:0], false
	for _, p := range q.parcels {
		if p.Call != call {
			kept = append(kept, p)
			continue
		}
		q.bytes -= len(p.Body)
		found = found || !p.More && !p.Cancel
	}
	clear(q.parcels[len(kept):])
	q.parcels = kept
	return found
}

// run sends the queued parcels until the stream fails or done is closed.
func (q *sendQueue) run(stream batchStream, done <-chan struct{}) error {
	for {
		select {
		case <-done:
			return nil
		case <-q.wake:
		}
		for {
			batch := q.nextBatch()
			if len(batch) == 0 {
				break
			}
			if err := stream.Send(&hemlockwire.Batch{Parcels: batch}); err != nil {
				return hemlockerror.Wrap("send", KindConnection, err)
			}
		}
	}
}

// nextBatch removes parcels from the front of the queue, up to the size of one message, and returns them.
func (q *sendQueue) nextBatch() []*hemlockwire.Parcel {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count, size := 0, 0
	for count < len(q.parcels) && (count == 0 || size+len(q.parcels[count].Body) <= maxBatchBytes) {
		size += len(q.parcels[count].Body)
		count++
	}
	batch := q.parcels[:count:count]
	q.parcels = q.parcels[count:]
	if len(q.parcels) == 0 {
		q.parcels = nil
	}
	q.bytes -= size
	return batch
}

// close makes the queue refuse further parcels and drops the queued ones.
func (q *sendQueue) close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed, q.parcels, q.bytes = true, nil, 0
}
