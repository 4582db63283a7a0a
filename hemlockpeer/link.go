package hemlockpeer

import (
	"context"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

const (
	// linkSilence is how long a peer with open calls may send nothing before the link asks whether it is alive. A peer
	// with calls in flight answers one every few milliseconds, so that the question is rare.
	linkSilence = 300 * time.Millisecond
	// linkLost is the silence after which the link counts as broken: a question was not answered for 600 ms, several
	// times the round trip between zones and the pauses of a busy host.
	linkLost = 900 * time.Millisecond
)

// result is the end of a call on a link.
type result struct {
	answer *hemlockcall.RelayResponse
	err    error
}

// pending is a call whose answer is awaited.
type pending struct {
	// done has room for one result, so that whoever ends the call does not block.
	done       chan result
	repeatable bool
	// answer and body collect an answer that comes in parts.
	answer *hemlockcall.RelayResponse
	body   []byte
}

// link carries the calls to one peer over one Carry stream. It is safe for concurrent use.
type link struct {
	out  *outbox
	stop context.CancelFunc

	mutex sync.Mutex
	// calls is nil after the link broke.
	calls  map[uint64]*pending
	number uint64
	heard  time.Time
	asked  bool
	// retired links take no new calls; calls that must not be repeated may still be answered on them.
	retired bool
	watch   *watch
	// watched is set while the watch looks at this link.
	watched bool
}

func newLink(w *watch, stop context.CancelFunc) *link {
	return &link{out: newOutbox(), stop: stop, calls: map[uint64]*pending{}, heard: time.Now(), watch: w}
}

// receive takes answers until the stream breaks.
func (l *link) receive(stream hemlockwire.DRPCNode_CarryStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := l.takeAll(batch.GetParcels()); err != nil {
			return err
		}
	}
}

func (l *link) takeAll(parcels []*hemlockwire.Parcel) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heard, l.asked = time.Now(), false
	for _, p := range parcels {
		if err := l.take(p); err != nil {
			return err
		}
	}
	return nil
}

// take is called with the lock held.
func (l *link) take(p *hemlockwire.Parcel) error {
	call := l.calls[p.GetCall()]
	if call == nil {
		return nil // the caller has given up
	}
	if p.GetRefusal() != nil {
		refusal, err := decodeRefusal(p.GetRefusal(), 0)
		if err != nil {
			return err
		}
		refusal.SentByNode = true
		l.finish(p.GetCall(), result{err: refusal})
		return nil
	}
	if p.GetAnswer() != nil {
		answer, err := decodeRelayAnswer(p.GetAnswer())
		if err != nil {
			return err
		}
		call.answer = answer
	}
	if call.answer == nil {
		return violation("receive answer", "a part of a body comes before its head")
	}
	if call.body == nil && !p.GetMore() {
		call.body = p.GetBody()
	} else {
		call.body = append(call.body, p.GetBody()...)
	}
	if !p.GetMore() {
		call.answer.Body = call.body
		l.finish(p.GetCall(), result{answer: call.answer})
	}
	return nil
}

// finish is called with the lock held.
func (l *link) finish(number uint64, r result) {
	call := l.calls[number]
	if call == nil {
		return
	}
	delete(l.calls, number)
	call.done <- r
	if l.retired && len(l.calls) == 0 {
		l.stop()
	}
}

// begin registers a call; it returns false when the link takes none.
func (l *link) begin(repeatable bool) (uint64, *pending, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.calls == nil || l.retired {
		return 0, nil, false
	}
	l.number++
	call := &pending{done: make(chan result, 1), repeatable: repeatable}
	if len(l.calls) == 0 {
		// The peer owed nothing until now.
		l.heard = time.Now()
	}
	l.calls[l.number] = call
	if !l.watched {
		l.watched = true
		l.watch.add(l)
	}
	return l.number, call, true
}

// look asks a silent peer whether it is alive, and retires the link when no answer comes. It returns false when no call is
// open.
func (l *link) look() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.calls) == 0 {
		l.watched = false
		return false
	}
	silence := time.Since(l.heard)
	switch {
	case silence >= linkLost && l.asked:
		l.retire("the peer has been silent")
	case silence >= linkSilence && !l.asked:
		l.asked = true
		l.out.putProbe(probeAsk)
	}
	return true
}

// retire is called with the lock held. Calls that may be repeated end at once, so that they can be sent elsewhere; the
// others keep the chance that their answer still arrives.
func (l *link) retire(why string) {
	if l.retired {
		return
	}
	l.retired = true
	for number, call := range l.calls {
		if l.out.withdraw(number) {
			l.finish(number, result{err: hemlockcall.Refuse(hemlockcall.ReasonConnection, why)})
		} else if call.repeatable {
			l.finish(number, result{err: hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, why)})
		}
	}
	if len(l.calls) == 0 {
		l.stop()
	}
}

// broken ends all calls. Those that were not sent have not run.
func (l *link) broken(why string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for number := range l.calls {
		refusal := hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, why)
		if l.out.withdraw(number) {
			refusal = hemlockcall.Refuse(hemlockcall.ReasonConnection, why)
		}
		l.finish(number, result{err: refusal})
	}
	l.calls = nil
	l.out.close()
}

// usable reports whether the link takes calls.
func (l *link) usable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls != nil && !l.retired
}

// relay carries one call out on the link.
func (l *link) relay(ctx context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
	number, waiting, ok := l.begin(call.Idempotent)
	if !ok {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonConnection, "the link to the peer has ended")
	}
	request := &hemlockwire.Parcel{Call: number, Request: encodeRelay(call)}
	if err := l.out.put(partsOf(request, call.Body)...); err != nil {
		l.abandon(number)
		return nil, hemlockcall.Refuse(hemlockcall.ReasonConnection, err.Error())
	}
	select {
	case r := <-waiting.done:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, l.cancel(ctx, number, waiting)
	}
}

// cancel gives a call up. An answer that arrived meanwhile is dropped, for its caller no longer waits.
func (l *link) cancel(ctx context.Context, number uint64, waiting *pending) error {
	l.abandon(number)
	reason := contextReason(ctx, hemlockcall.ReasonCancelled)
	if l.out.withdraw(number) {
		return hemlockcall.Refuse(reason, "given up before the call was sent")
	}
	select {
	case r := <-waiting.done:
		if r.err != nil {
			return r.err
		}
	default:
		// A put fails only when the stream has ended, which cancels the call at the peer too.
		_ = l.out.put(&hemlockwire.Parcel{Call: number, Cancel: true})
	}
	return hemlockcall.RefuseUnknown(reason, "given up while the call was under way")
}

func (l *link) abandon(number uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.calls, number)
	if l.retired && len(l.calls) == 0 {
		l.stop()
	}
}
