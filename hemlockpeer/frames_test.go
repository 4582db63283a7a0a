package hemlockpeer

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// defects change the frames of a correct request or response with three body parts into ones that must not count as
// complete.
var defects = map[string]func(f []*hemlockwire.Frame) []*hemlockwire.Frame{
	"crossed": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		for _, frame := range f[1:] {
			frame.CallId++
		}
		return f
	},
	"duplicated part": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		return []*hemlockwire.Frame{f[0], f[1], f[1], f[3], f[4]}
	},
	"swapped parts": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		return []*hemlockwire.Frame{f[0], f[2], f[1], f[3], f[4]}
	},
	"lost part": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[3].Sequence, f[4].Sequence = f[2].Sequence, f[3].Sequence
		f[4].End.Checksum = 0
		return []*hemlockwire.Frame{f[0], f[1], f[3], f[4]}
	},
	"changed byte": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[2].Body[5] ^= 1
		return f
	},
	"sequence": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[2].Sequence--
		return f
	},
	"checksum of a part": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[2].Checksum ^= 1
		return f
	},
	"head and part in one frame": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[2].Response = &hemlockwire.ResponseHead{Status: 200}
		return f
	},
	"shorter than declared": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		return rebuildFrames(f, f[1].GetBody())
	},
	"checksum of the body": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[4].End.Checksum ^= 1
		return f
	},
	"length of the body": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[4].End.Length--
		return f
	},
	"over-long": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		return rebuildFrames(f, f[1].GetBody(), f[2].GetBody(), f[3].GetBody(), []byte("more"))
	},
	"over-long without end": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		return rebuildFrames(f, f[1].GetBody(), f[2].GetBody(), f[3].GetBody(), []byte("more"))[:5]
	},
	"frame after the end": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		return append(f, &hemlockwire.Frame{CallId: f[0].GetCallId(), Sequence: 5, End: f[4].GetEnd()})
	},
	"second head": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		f[2].Body, f[2].Checksum, f[2].Response = nil, 0, &hemlockwire.ResponseHead{Status: 200}
		return f
	},
	"oversize part": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		return rebuildFrames(f, bytes.Join([][]byte{f[1].GetBody(), f[2].GetBody(), f[3].GetBody()}, nil))
	},
	"oversize header": func(f []*hemlockwire.Frame) []*hemlockwire.Frame {
		large := []*hemlockwire.Header{{Name: "X", Values: []string{strings.Repeat("x", maxHeaderBytes)}}}
		if head := f[0].GetRequest(); head != nil {
			head.Headers = large
		} else {
			f[0].Response.Headers = large
		}
		return f
	},
}

// rebuildFrames returns consistent frames with the same head and another body.
func rebuildFrames(f []*hemlockwire.Frame, parts ...[]byte) []*hemlockwire.Frame {
	recorded := &frameRecorder{}
	writer := &frameWriter{stream: recorded, call: f[0].GetCallId()}
	_ = writer.send(f[0])
	for _, part := range parts {
		_ = writer.body(part)
	}
	_ = writer.end(nil)
	return recorded.frames
}

// Guards against a response that belongs to another call or is truncated, over-long, duplicated or changed, and yet
// reaches the caller as complete, and against the reuse of the connection on which it arrived.
func TestDefectiveResponses(t *testing.T) {
	body := pattern(1, 2*chunkSize+1000)
	for name, defect := range defects {
		for kind, length := range map[string]int64{"bounded": int64(len(body)), "streamed": -1} {
			if length < 0 && (strings.HasPrefix(name, "over-long") || name == "shorter than declared") {
				continue // a streamed response declares no length
			}
			t.Run(name+" "+kind, func(t *testing.T) {
				address := startFakePeer(t, func(stream hemlockwire.DRPCNode_CallStream, call uint64) error {
					return sendAll(stream, defect(responseFrames(call, bytes.Clone(body), length)))
				})
				scope := tally.NewTestScope("", nil)
				client := startClient(t, WithScope(scope))
				wantRefusal(t, callAndRead(client, address), hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
				equal(t, "violations", violationCount(scope), 1)
				_, reusable := client.pool.idle.Take(address)
				equal(t, "connection kept", reusable, false)
			})
		}
	}
}

// callAndRead calls the peer and reads the response; nil means that the response counts as complete.
func callAndRead(client *Client, address string) error {
	response, err := client.InvokerFor(address).Invoke(context.Background(), newRequest(nil, 0))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against a response that is truncated by the end of the stream or of the connection and counts as complete.
func TestTruncatedResponses(t *testing.T) {
	body := pattern(1, maxBufferedBody+chunkSize)
	for kind, length := range map[string]int64{"bounded": maxBufferedBody, "long": int64(len(body)), "unknown": -1} {
		for _, frames := range []int{0, 1, 2, 10} {
			t.Run(kind, func(t *testing.T) {
				address := startFakePeer(t, func(stream hemlockwire.DRPCNode_CallStream, call uint64) error {
					return sendAll(stream, responseFrames(call, body, length)[:frames])
				})
				wantRefusal(t, callAndRead(startClient(t), address), hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
			})
		}
	}
}

// Guards against a defective request that reaches the handler as complete, so that a truncated or another request runs.
func TestDefectiveRequests(t *testing.T) {
	body := pattern(1, 2*chunkSize+1000)
	for name, defect := range defects {
		t.Run(name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			received := make(chan error, 1)
			_, address := startServer(t, invokerFunc(func(_ context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
				_, err := io.Copy(io.Discard, r.Body)
				received <- err
				return newResponse(nil, 0), nil
			}), WithScope(scope))
			connection, stream := openRawCall(t, address)
			_ = sendAll(stream, defect(requestFrames(9, bytes.Clone(body), int64(len(body)))))
			_ = stream.CloseSend()
			waitFor(t, "closing of the connection", connection.Closed())
			equal(t, "violations", violationCount(scope), 1)
			select {
			case err := <-received:
				if err == nil {
					t.Fatal("the request reached the handler as complete")
				}
			default:
			}
		})
	}
}
