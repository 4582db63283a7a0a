package hemlockpeer

import (
	"io"
	"sync/atomic"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// responseBody is the body of a response that is received in frames.
type responseBody struct {
	call *call
	part []byte // unread rest of the current part
	// finalError is what every further Read returns; it is io.EOF only after the end frame has been checked.
	finalError error
	feedback   atomic.Pointer[hemlockcall.Feedback]
}

func (b *responseBody) reportedFeedback() hemlockcall.Feedback {
	if feedback := b.feedback.Load(); feedback != nil {
		return *feedback
	}
	return hemlockcall.Feedback{}
}

// Read implements io.Reader.
func (b *responseBody) Read(buffer []byte) (int, error) {
	for len(b.part) == 0 {
		if b.finalError != nil {
			return 0, b.finalError
		}
		part, end, err := b.call.reader.bodyPart()
		switch {
		case err != nil:
			b.finalError = b.call.fail(err)
		case end != nil:
			b.finalError = b.finish(end)
		default:
			b.part = part
		}
	}
	count := copy(buffer, b.part)
	b.part = b.part[count:]
	return count, nil
}

// finish checks and applies the end frame. A further frame after it makes the response invalid.
func (b *responseBody) finish(end *hemlockwire.End) error {
	feedback, err := decodeFeedback(end.GetFeedback(), b.call.retryAllocation)
	if err != nil {
		return b.call.fail(err)
	}
	endErr := b.call.reader.finish()
	if isViolation(endErr) {
		return b.call.fail(endErr)
	}
	b.feedback.Store(&feedback)
	b.call.complete(endErr)
	return io.EOF
}

// Close implements io.Closer. It cancels the call if the body has not been read to its end.
func (b *responseBody) Close() error {
	b.call.discard()
	return nil
}
