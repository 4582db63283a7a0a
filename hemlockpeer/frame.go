package hemlockpeer

import (
	"hash/crc32"
	"io"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockpeer/hemlockwire"
)

const (
	// chunkSize is the largest body part of a frame, in bytes, which keeps a frame far below the size limit of the drpc
	// reader.
	chunkSize = 32 << 10
	// maxBufferedBody is the largest response body, in bytes, that is buffered until it is complete; a larger one, or one
	// of unknown length, is streamed.
	maxBufferedBody = 1 << 20
	// maxStreamedBody is the largest body that is accepted, in bytes.
	maxStreamedBody = 1 << 40
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameStream is what the client's and the server's end of a Call stream have in common.
type frameStream interface {
	Send(*hemlockwire.Frame) error
	Recv() (*hemlockwire.Frame, error)
}

// frameWriter sends the frames of one direction of a call with sequence numbers and checksums. It is not safe for
// concurrent use.
type frameWriter struct {
	stream   frameStream
	call     uint64 // id of the call
	sequence uint32 // of the next frame
	length   uint64 // of the body parts so far
	checksum uint32 // of the body parts so far
}

func (w *frameWriter) send(frame *hemlockwire.Frame) error {
	frame.CallId, frame.Sequence = w.call, w.sequence
	w.sequence++
	return w.stream.Send(frame)
}

// body sends one body part. The caller may reuse the slice afterwards, because drpc copies it before send returns.
func (w *frameWriter) body(part []byte) error {
	w.length += uint64(len(part))
	w.checksum = crc32.Update(w.checksum, castagnoli, part)
	return w.send(&hemlockwire.Frame{Body: part, Checksum: crc32.Checksum(part, castagnoli)})
}

func (w *frameWriter) end(feedback *hemlockwire.Feedback) error {
	return w.send(&hemlockwire.Frame{
		End: &hemlockwire.End{Length: w.length, Checksum: w.checksum, Feedback: feedback},
	})
}

// frameReader receives and checks the frames of one direction of a call. It is not safe for concurrent use.
type frameReader struct {
	stream frameStream
	// call is the call id that every frame must have. With adoptCallID, as on the server, it is that of the first frame.
	call        uint64
	adoptCallID bool
	sequence    uint32 // of the next frame
	// declaredLength is the body length that the head declares, or -1 when unknown.
	declaredLength int64
	length         uint64 // of the body parts so far
	checksum       uint32 // of the body parts so far
}

// next receives a frame and makes the checks that apply to every frame.
func (r *frameReader) next() (*hemlockwire.Frame, error) {
	frame, err := r.stream.Recv()
	if err != nil {
		return nil, err
	}
	return frame, r.check(frame)
}

func (r *frameReader) check(frame *hemlockwire.Frame) error {
	const operation = "read frame"
	if r.adoptCallID {
		r.call, r.adoptCallID = frame.GetCallId(), false
	}
	switch {
	case frame.GetCallId() != r.call:
		return violation(operation, "frame belongs to another call")
	case frame.GetSequence() != r.sequence:
		return violation(operation, "frame out of sequence")
	case contentCount(frame) != 1:
		return violation(operation, "frame is empty or has several contents")
	case len(frame.GetBody()) > chunkSize:
		return violation(operation, "body part too large")
	case frame.GetChecksum() != crc32.Checksum(frame.GetBody(), castagnoli):
		return violation(operation, "checksum mismatch in a body part")
	}
	r.sequence++
	return nil
}

// contentCount returns how many of its alternative contents a frame has (a body part, a head, an end, a refusal); a
// well-formed frame has one.
func contentCount(frame *hemlockwire.Frame) int {
	count := 0
	for _, present := range []bool{
		len(frame.GetBody()) > 0, frame.GetRequest() != nil, frame.GetResponse() != nil,
		frame.GetEnd() != nil, frame.GetRefusal() != nil,
	} {
		if present {
			count++
		}
	}
	return count
}

// bodyPart returns the next part of the body, or the end frame once the whole body has been received and checked.
func (r *frameReader) bodyPart() ([]byte, *hemlockwire.End, error) {
	frame, err := r.next()
	if err != nil {
		return nil, nil, err
	}
	part, err := r.acceptBodyFrame(frame)
	return part, frame.GetEnd(), err
}

func (r *frameReader) acceptBodyFrame(frame *hemlockwire.Frame) ([]byte, error) {
	const operation = "read body"
	if end := frame.GetEnd(); end != nil {
		if end.GetLength() != r.length || (r.declaredLength >= 0 && r.length != uint64(r.declaredLength)) {
			return nil, violation(operation, "body length mismatch")
		}
		if end.GetChecksum() != r.checksum {
			return nil, violation(operation, "body checksum mismatch")
		}
		return nil, nil
	}
	part := frame.GetBody()
	if len(part) == 0 {
		return nil, violation(operation, "head or refusal within the body")
	}
	r.length += uint64(len(part))
	r.checksum = crc32.Update(r.checksum, castagnoli, part)
	if r.length > maxStreamedBody || (r.declaredLength >= 0 && r.length > uint64(r.declaredLength)) {
		return nil, violation(operation, "body is longer than declared or allowed")
	}
	return part, nil
}

// finish checks that the stream ends after the end frame or refusal.
func (r *frameReader) finish() error {
	_, err := r.stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return violation("read body", "frame after the end")
	}
	return err
}
