package hemlockpeer

import (
	"hash/crc32"
	"io"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockpeer/hemlockwire"
)

const (
	// chunkSize is the largest body part of a frame. A frame stays far below the reader limit of drpc.
	chunkSize = 32 << 10
	// boundedBody is the largest body that is buffered until it is whole.
	boundedBody = 1 << 20
	// maximumBody bounds a streamed body.
	maximumBody = 1 << 40
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frameStream interface {
	Send(*hemlockwire.Frame) error
	Recv() (*hemlockwire.Frame, error)
}

// frameWriter numbers and checksums the frames of one direction of a call. It is not safe for concurrent use.
type frameWriter struct {
	stream   frameStream
	call     uint64
	sequence uint32
	length   uint64
	checksum uint32
}

func (w *frameWriter) send(frame *hemlockwire.Frame) error {
	frame.CallId, frame.Sequence = w.call, w.sequence
	w.sequence++
	return w.stream.Send(frame)
}

// body sends one part; drpc copies it before send returns.
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

// frameReader checks the frames of one direction of a call. It is not safe for concurrent use.
type frameReader struct {
	stream frameStream
	// call is the id that every frame must carry; a server learns it from the first frame.
	call     uint64
	learn    bool
	sequence uint32
	// declared is the length that the head announced, or -1.
	declared int64
	length   uint64
	checksum uint32
}

// next returns the next frame after the checks that hold for every frame.
func (r *frameReader) next() (*hemlockwire.Frame, error) {
	frame, err := r.stream.Recv()
	if err != nil {
		return nil, err
	}
	return frame, r.check(frame)
}

func (r *frameReader) check(frame *hemlockwire.Frame) error {
	const operation = "read frame"
	if r.learn {
		r.call, r.learn = frame.GetCallId(), false
	}
	switch {
	case frame.GetCallId() != r.call:
		return violation(operation, "frame of another call")
	case frame.GetSequence() != r.sequence:
		return violation(operation, "frame out of sequence")
	case parts(frame) != 1:
		return violation(operation, "frame with no part or several parts")
	case len(frame.GetBody()) > chunkSize:
		return violation(operation, "body part too large")
	case frame.GetChecksum() != crc32.Checksum(frame.GetBody(), castagnoli):
		return violation(operation, "checksum of a body part")
	}
	r.sequence++
	return nil
}

// parts counts the parts of a frame; a well-formed frame has one.
func parts(frame *hemlockwire.Frame) int {
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

// bodyPart returns the next part of the body, or the end frame after the whole body has been checked.
func (r *frameReader) bodyPart() ([]byte, *hemlockwire.End, error) {
	frame, err := r.next()
	if err != nil {
		return nil, nil, err
	}
	part, err := r.account(frame)
	return part, frame.GetEnd(), err
}

func (r *frameReader) account(frame *hemlockwire.Frame) ([]byte, error) {
	const operation = "read body"
	if end := frame.GetEnd(); end != nil {
		if end.GetLength() != r.length || (r.declared >= 0 && r.length != uint64(r.declared)) {
			return nil, violation(operation, "length of the body")
		}
		if end.GetChecksum() != r.checksum {
			return nil, violation(operation, "checksum of the body")
		}
		return nil, nil
	}
	part := frame.GetBody()
	if len(part) == 0 {
		return nil, violation(operation, "head or refusal within the body")
	}
	r.length += uint64(len(part))
	r.checksum = crc32.Update(r.checksum, castagnoli, part)
	if r.length > maximumBody || (r.declared >= 0 && r.length > uint64(r.declared)) {
		return nil, violation(operation, "body over its length")
	}
	return part, nil
}

// finish checks that nothing follows the end frame.
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
