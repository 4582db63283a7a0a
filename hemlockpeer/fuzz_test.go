package hemlockpeer

import (
	"hash/crc32"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// FuzzFrames guards against a crash on any bytes of a peer, and against a body that is taken for whole although its
// frames do not prove it. The input is a sequence of frames, each after one byte that gives its length.
func FuzzFrames(f *testing.F) {
	for _, length := range []int64{11, -1} {
		var input []byte
		for _, frame := range answerFrames(7, []byte("hello world"), length) {
			encoded, err := proto.Marshal(frame)
			noError(f, err)
			input = append(append(input, byte(len(encoded))), encoded...)
		}
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		source := &framesOf{input: input}
		reader := &frameReader{stream: source, learn: true, declared: -1}
		frame, err := reader.next()
		if err != nil {
			return
		}
		if frame.GetResponse() != nil {
			response, err := decodeResponse(frame.GetResponse())
			if err != nil {
				return
			}
			reader.declared = response.Length
		}
		checkBody(t, reader)
	})
}

func checkBody(t *testing.T, reader *frameReader) {
	t.Helper()
	var body []byte
	for {
		part, end, err := reader.bodyPart()
		if err != nil {
			return
		}
		if end == nil {
			body = append(body, part...)
			continue
		}
		whole := end.GetLength() == uint64(len(body)) && end.GetChecksum() == crc32.Checksum(body, castagnoli)
		if !whole || (reader.declared >= 0 && reader.declared != int64(len(body))) {
			t.Fatalf("body of %d bytes taken for whole, declared %d, end %v", len(body), reader.declared, end)
		}
		return
	}
}

type framesOf struct {
	input []byte
}

func (s *framesOf) Send(*hemlockwire.Frame) error { return nil }

func (s *framesOf) Recv() (*hemlockwire.Frame, error) {
	if len(s.input) == 0 {
		return nil, io.EOF
	}
	count := min(int(s.input[0]), len(s.input)-1)
	frame := new(hemlockwire.Frame)
	err := proto.Unmarshal(s.input[1:1+count], frame)
	s.input = s.input[1+count:]
	return frame, err
}

// FuzzHeads guards against values out of range that a peer's head or refusal brings into the node.
func FuzzHeads(f *testing.F) {
	request := newRequest(nil, 0)
	head, err := encodeRequest(request, request.Context.Remaining)
	noError(f, err)
	encoded, err := proto.Marshal(head)
	noError(f, err)
	f.Add(encoded, 2)
	f.Fuzz(func(t *testing.T, input []byte, share int) {
		var head hemlockwire.RequestHead
		if proto.Unmarshal(input, &head) == nil {
			if decoded, err := decodeRequest(&head); err == nil {
				checkRequest(t, decoded)
			}
		}
		var refusal hemlockwire.Refusal
		if proto.Unmarshal(input, &refusal) == nil {
			if decoded, err := decodeRefusal(&refusal, share); err == nil {
				checkRefusal(t, decoded, share)
			}
		}
	})
}

func checkRequest(t *testing.T, r *hemlockcall.Request) {
	t.Helper()
	c := r.Context
	if int(c.Priority) >= hemlockcall.PriorityCount || c.RetryBudget < 0 || c.Remaining < 0 || r.Length < -1 ||
		r.Service == "" || r.Path[0] != '/' {
		t.Fatalf("accepted %+v", r)
	}
	if _, err := encodeRequest(r, c.Remaining); err != nil {
		t.Fatalf("accepted a head that cannot be sent: %v", err)
	}
}

func checkRefusal(t *testing.T, r *hemlockcall.Refusal, share int) {
	t.Helper()
	if r.Verdict > hemlockcall.VerdictNotRun || r.Feedback.UnusedRetries > max(share, 0) || r.Feedback.UnusedRetries < 0 || r.RetryAfter < 0 {
		t.Fatalf("accepted %+v", r)
	}
}
