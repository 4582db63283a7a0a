package hemlockpeer

import (
	"io"
	"sync/atomic"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// responseBody is the body of an answer that arrives in frames.
type responseBody struct {
	call *call
	part []byte
	// failure is what every later Read returns; io.EOF only after the end frame was checked.
	failure  error
	feedback atomic.Pointer[hemlockcall.Feedback]
}

func (b *responseBody) reported() hemlockcall.Feedback {
	if feedback := b.feedback.Load(); feedback != nil {
		return *feedback
	}
	return hemlockcall.Feedback{}
}

// Read implements io.Reader.
func (b *responseBody) Read(buffer []byte) (int, error) {
	for len(b.part) == 0 {
		if b.failure != nil {
			return 0, b.failure
		}
		part, end, err := b.call.reader.bodyPart()
		switch {
		case err != nil:
			b.failure = b.call.fail(err)
		case end != nil:
			b.failure = b.finish(end)
		default:
			b.part = part
		}
	}
	count := copy(buffer, b.part)
	b.part = b.part[count:]
	return count, nil
}

// finish accepts the end frame. Whatever follows it on the connection makes the answer invalid.
func (b *responseBody) finish(end *hemlockwire.End) error {
	feedback, err := decodeFeedback(end.GetFeedback(), b.call.share)
	if err != nil {
		return b.call.fail(err)
	}
	ending := b.call.reader.finish()
	if isViolation(ending) {
		return b.call.fail(ending)
	}
	b.feedback.Store(&feedback)
	b.call.settle(ending)
	return io.EOF
}

// Close implements io.Closer. Before the end of the body it cancels the call.
func (b *responseBody) Close() error {
	b.call.abandon()
	return nil
}
