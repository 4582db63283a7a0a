package hemlockpeer

import (
	"hash/crc32"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// Guards against a panic on any bytes that a peer sends, and against a body that counts as complete although its length
// or checksum does not match. The input is a sequence of frames, each after one byte with its length.
func FuzzFrames(f *testing.F) {
	for _, length := range []int64{11, -1} {
		var input []byte
		for _, frame := range responseFrames(7, []byte("hello world"), length) {
			encoded, err := proto.Marshal(frame)
			noError(f, err)
			input = append(append(input, byte(len(encoded))), encoded...)
		}
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		source := &frameSource{input: input}
		reader := &frameReader{stream: source, adoptCallID: true, declaredLength: -1}
		frame, err := reader.next()
		if err != nil {
			return
		}
		if frame.GetResponse() != nil {
			response, err := decodeResponse(frame.GetResponse())
			if err != nil {
				return
			}
			reader.declaredLength = response.Length
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
		matches := end.GetLength() == uint64(len(body)) && end.GetChecksum() == crc32.Checksum(body, castagnoli)
		if !matches || (reader.declaredLength >= 0 && reader.declaredLength != int64(len(body))) {
			t.Fatalf("body of %d bytes counts as complete, declared %d, end %v", len(body), reader.declaredLength, end)
		}
		return
	}
}

// frameSource is a frameStream that receives the frames encoded in input.
type frameSource struct {
	input []byte
}

func (s *frameSource) Send(*hemlockwire.Frame) error { return nil }

func (s *frameSource) Recv() (*hemlockwire.Frame, error) {
	if len(s.input) == 0 {
		return nil, io.EOF
	}
	count := min(int(s.input[0]), len(s.input)-1)
	frame := new(hemlockwire.Frame)
	err := proto.Unmarshal(s.input[1:1+count], frame)
	s.input = s.input[1+count:]
	return frame, err
}

// Guards against values out of range in a request head or refusal of a peer that are accepted.
func FuzzHeads(f *testing.F) {
	request := newRequest(nil, 0)
	head, err := encodeRequest(request, request.Context.Remaining)
	noError(f, err)
	encoded, err := proto.Marshal(head)
	noError(f, err)
	f.Add(encoded, 2)
	f.Fuzz(func(t *testing.T, input []byte, allocation int) {
		var head hemlockwire.RequestHead
		if proto.Unmarshal(input, &head) == nil {
			if decoded, err := decodeRequest(&head); err == nil {
				checkRequest(t, decoded)
			}
		}
		var refusal hemlockwire.Refusal
		if proto.Unmarshal(input, &refusal) == nil {
			if decoded, err := decodeRefusal(&refusal, allocation); err == nil {
				checkRefusal(t, decoded, allocation)
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
		t.Fatalf("accepted a head that cannot be encoded: %v", err)
	}
}

func checkRefusal(t *testing.T, r *hemlockcall.Refusal, allocation int) {
	t.Helper()
	if r.Verdict > hemlockcall.VerdictNotRun || r.Feedback.UnusedRetries > max(allocation, 0) || r.Feedback.UnusedRetries < 0 || r.RetryAfter < 0 {
		t.Fatalf("accepted %+v", r)
	}
}
