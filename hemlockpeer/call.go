package hemlockpeer

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// call is one call on the side of the calling node. It ends exactly once, in release or abandon.
type call struct {
	client     *Client
	address    string
	connection *connection
	// free gives the place in the pool back.
	free   func()
	ctx    context.Context
	cancel context.CancelFunc
	// share is the retry share that the call brings; feedback never exceeds it.
	share int
	// mark is the write count of the connection before the call.
	mark uint64

	stream hemlockwire.DRPCNode_CallClient
	reader *frameReader
	writer *frameWriter
	// sent is closed when the sending of the request has ended; sendFailure is valid after that.
	sent        chan struct{}
	sendFailure error
	end         sync.Once
}

func (c *call) start(request *hemlockcall.Request, head *hemlockwire.RequestHead) (*hemlockcall.Response, error) {
	stream, err := hemlockwire.NewDRPCNodeClient(c.connection).Call(c.ctx)
	if err != nil {
		return nil, c.fail(err)
	}
	id := c.client.calls.Add(1)
	c.stream, c.sent = stream, make(chan struct{})
	c.reader = &frameReader{stream: stream, call: id, declared: -1}
	c.writer = &frameWriter{stream: stream, call: id}
	if head.GetLength() == 0 || (head.GetLength() <= chunkSize && inMemory(request.Body)) {
		// A small request is sent in one piece without a goroutine.
		c.send(request, head)
	} else {
		go c.send(request, head)
	}
	response, err := c.receive()
	if err != nil {
		return nil, c.fail(err)
	}
	return response, nil
}

// send sends the whole request. When the body cannot be read, the call is cancelled, because the peer must not take
// the part for whole.
func (c *call) send(request *hemlockcall.Request, head *hemlockwire.RequestHead) {
	c.sendFailure = c.sendRequest(request, head)
	close(c.sent)
	if hemlockerror.KindOf[Kind](c.sendFailure) == KindBody {
		c.cancel()
	}
}

// inMemory reports whether reading the body never blocks.
func inMemory(body io.Reader) bool {
	switch body.(type) {
	case *bytes.Reader, *bytes.Buffer, *strings.Reader:
		return true
	}
	return false
}

func (c *call) sendRequest(request *hemlockcall.Request, head *hemlockwire.RequestHead) error {
	if err := c.writer.send(&hemlockwire.Frame{Request: head}); err != nil {
		return err
	}
	if head.GetLength() != 0 {
		if head.GetLength() < 0 || head.GetLength() > chunkSize {
			if err := flush(c.stream); err != nil {
				return err
			}
		}
		if err := c.sendBody(request.Body, head.GetLength()); err != nil {
			return err
		}
	}
	if err := c.writer.end(nil); err != nil {
		return err
	}
	return c.stream.CloseSend()
}

func (c *call) sendBody(body io.Reader, declared int64) error {
	buffer := takeBuffer()
	defer putBuffer(buffer)
	for {
		count, err := body.Read(*buffer)
		if declared >= 0 && c.writer.length+uint64(count) > uint64(declared) {
			return hemlockerror.New("send request", KindBody, "body over its length")
		}
		if count > 0 {
			if failure := c.sendPart((*buffer)[:count], declared); failure != nil {
				return failure
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return hemlockerror.Wrap("send request", KindBody, err)
		}
	}
	if declared >= 0 && c.writer.length != uint64(declared) {
		return hemlockerror.New("send request", KindBody, "body under its length")
	}
	return nil
}

func (c *call) sendPart(part []byte, declared int64) error {
	if err := c.writer.body(part); err != nil {
		return err
	}
	if declared >= 0 && declared <= chunkSize {
		return nil
	}
	return flush(c.stream)
}

// receive reads the head of the answer and, when it is bounded, its body.
func (c *call) receive() (*hemlockcall.Response, error) {
	frame, err := c.reader.next()
	if err != nil {
		return nil, err
	}
	if frame.GetRefusal() != nil {
		return nil, c.refused(frame.GetRefusal())
	}
	if frame.GetResponse() == nil {
		return nil, violation("call", "answer without head")
	}
	response, err := decodeResponse(frame.GetResponse())
	if err != nil {
		return nil, err
	}
	c.reader.declared = response.Length
	body := &responseBody{call: c}
	response.Feedback = body.reported
	response.Body = body
	if response.Length < 0 || response.Length > boundedBody {
		return response, nil
	}
	whole := bytes.NewBuffer(make([]byte, 0, response.Length))
	if _, err := whole.ReadFrom(body); err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(whole)
	return response, nil
}

// refused ends the call with the refusal that the peer sent.
func (c *call) refused(wire *hemlockwire.Refusal) error {
	refusal, err := decodeRefusal(wire, c.share)
	if err != nil {
		return err
	}
	c.settle(c.reader.finish())
	if refusal.Reason == hemlockcall.ReasonLeaving {
		// The peer will close its connections soon; a call that is sent just then would be in doubt.
		c.client.pool.forget(c.address)
	}
	return refusal
}

// settle ends a call whose answer is complete. The connection is kept only if the request was sent to its end and
// the peer ended the stream in good order, which it does only after it has read the end of the request.
func (c *call) settle(ending error) {
	if ending == nil {
		select {
		case <-c.sent:
			if c.sendFailure == nil {
				c.release()
				return
			}
		case <-c.ctx.Done():
		}
	}
	c.abandon()
}

func (c *call) release() {
	c.end.Do(func() {
		c.client.release(c.ctx, c.address, c.connection)
		c.cancel()
		c.free()
	})
}

// abandon closes the connection, whose state is in doubt.
func (c *call) abandon() {
	c.end.Do(func() {
		c.cancel()
		_ = c.connection.Close()
		c.free()
	})
}

// fail ends a call without answer and says what is known about its outcome.
func (c *call) fail(err error) *hemlockcall.Refusal {
	var refusal *hemlockcall.Refusal
	if errors.As(err, &refusal) {
		// The peer's own refusal, or a failure that has ended the call already.
		return refusal
	}
	reason := contextReason(c.ctx, hemlockcall.ReasonConnection)
	unwritten := c.connection.transport.CloseIfUnwritten(c.mark)
	c.abandon()
	if isViolation(err) {
		c.client.settings.countViolation()
	}
	if c.sent != nil {
		select {
		case <-c.sent:
			if hemlockerror.KindOf[Kind](c.sendFailure) == KindBody {
				reason, err = hemlockcall.ReasonIncomplete, c.sendFailure
			}
		default:
		}
	}
	if unwritten {
		return hemlockcall.Refuse(reason, err.Error())
	}
	return hemlockcall.RefuseUnknown(reason, err.Error())
}
