package hemlockpeer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"hemlockhollow/hemlockpeer/hemlockwire"
)

// fakePeer responds to each call with the frames that script sends.
type fakePeer struct {
	hemlockwire.DRPCNodeUnimplementedServer
	script func(stream hemlockwire.DRPCNode_CallStream, call uint64) error
}

// Call implements hemlockwire.DRPCNodeServer. It receives the whole request before it responds.
func (p *fakePeer) Call(stream hemlockwire.DRPCNode_CallStream) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if frame.GetEnd() != nil {
			return p.script(stream, frame.GetCallId())
		}
	}
}

func startFakePeer(t testing.TB, script func(hemlockwire.DRPCNode_CallStream, uint64) error) string {
	t.Helper()
	mux := drpcmux.New()
	noError(t, hemlockwire.DRPCRegisterNode(mux, &fakePeer{script: script}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- drpcserver.New(mux).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return listener.Addr().String()
}

// responseFrames returns the frames of a correct response.
func responseFrames(call uint64, body []byte, length int64) []*hemlockwire.Frame {
	recorded := &frameRecorder{}
	writer := &frameWriter{stream: recorded, call: call}
	_ = writer.send(&hemlockwire.Frame{Response: &hemlockwire.ResponseHead{Status: 200, Length: length}})
	for len(body) > 0 {
		count := min(len(body), chunkSize)
		_ = writer.body(body[:count])
		body = body[count:]
	}
	_ = writer.end(nil)
	return recorded.frames
}

// requestFrames returns the frames of a correct request.
func requestFrames(call uint64, body []byte, length int64) []*hemlockwire.Frame {
	frames := responseFrames(call, body, length)
	request := newRequest(nil, 0)
	head, _ := encodeRequest(request, request.Context.Remaining)
	head.Length = length
	frames[0].Response, frames[0].Request = nil, head
	return frames
}

// frameRecorder is a frameStream that stores the frames sent.
type frameRecorder struct {
	frames []*hemlockwire.Frame
}

func (r *frameRecorder) Send(frame *hemlockwire.Frame) error {
	r.frames = append(r.frames, frame)
	return nil
}

func (r *frameRecorder) Recv() (*hemlockwire.Frame, error) {
	return nil, context.Canceled
}

func sendAll(stream interface {
	Send(*hemlockwire.Frame) error
}, frames []*hemlockwire.Frame) error {
	for _, f := range frames {
		if err := stream.Send(f); err != nil {
			return err
		}
	}
	return nil
}

// openRawCall opens a call on a drpc connection without the checks of the client.
func openRawCall(t testing.TB, address string) (*drpcconn.Conn, hemlockwire.DRPCNode_CallClient) {
	t.Helper()
	transport, err := net.Dial("tcp", address)
	noError(t, err)
	connection := drpcconn.New(transport)
	t.Cleanup(func() { _ = connection.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	stream, err := hemlockwire.NewDRPCNodeClient(connection).Call(ctx)
	noError(t, err)
	return connection, stream
}

func violationCount(scope tally.TestScope) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "peer-violations" {
			return c.Value()
		}
	}
	return 0
}
