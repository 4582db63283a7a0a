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

// call is one call as the calling node sees it. It ends exactly once, in release or discard.
type call struct {
	client     *Client
	address    string
	connection *pooledConnection
	// releasePermit returns the permit for the peer to the pool.
	releasePermit func()
	ctx           context.Context
	cancel        context.CancelFunc
	// retryAllocation is the part of the retry budget that the call carries. The unused retries in the feedback never
	// exceed it.
	retryAllocation int
	// writesBefore is the write count of the connection before the call. Nothing was sent while the count is unchanged.
	writesBefore uint64

	stream hemlockwire.DRPCNode_CallClient
	reader *frameReader
	writer *frameWriter
	// sendDone is closed when sending the request has ended; sendError is valid after that.
	sendDone  chan struct{}
	sendError error
	endOnce   sync.Once
}

func (c *call) start(request *hemlockcall.Request, head *hemlockwire.RequestHead) (*hemlockcall.Response, error) {
	stream, err := hemlockwire.NewDRPCNodeClient(c.connection).Call(c.ctx)
	if err != nil {
		return nil, c.fail(err)
	}
	id := c.client.lastCallID.Add(1)
	defer c.client.sent.add(id, c.address, request)()
	c.stream, c.sendDone = stream, make(chan struct{})
	c.reader = &frameReader{stream: stream, call: id, declaredLength: -1}
	c.writer = &frameWriter{stream: stream, call: id}
	if head.GetLength() == 0 || (head.GetLength() <= chunkSize && inMemory(request.Body)) {
		// A small request is sent in one piece, and reading its body does not block, so it needs no goroutine.
		c.send(request, head)
	} else {
		disableManualFlush(stream)
		go c.send(request, head)
	}
	response, err := c.receiveResponse()
	if err != nil {
		return nil, c.fail(err)
	}
	return response, nil
}

// send sends the whole request. If the body cannot be read or does not have the declared length, it cancels the call, so
// that the peer does not treat the part that it has received as a complete body.
func (c *call) send(request *hemlockcall.Request, head *hemlockwire.RequestHead) {
	c.sendError = c.sendRequest(request, head)
	close(c.sendDone)
	if hemlockerror.KindOf[Kind](c.sendError) == KindBody {
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
	buffer := getBuffer()
	defer putBuffer(buffer)
	for {
		count, err := body.Read(*buffer)
		if declared >= 0 && c.writer.length+uint64(count) > uint64(declared) {
			return hemlockerror.New("send request", KindBody, "body is longer than declared")
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
		return hemlockerror.New("send request", KindBody, "body is shorter than declared")
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

// receiveResponse receives the head of the response and, if the declared length is at most maxBufferedBody, the body.
func (c *call) receiveResponse() (*hemlockcall.Response, error) {
	frame, err := c.reader.next()
	if err != nil {
		return nil, err
	}
	if frame.GetRefusal() != nil {
		return nil, c.handleRefusal(frame.GetRefusal())
	}
	if frame.GetResponse() == nil {
		return nil, violation("call", "response without head")
	}
	response, err := decodeResponse(frame.GetResponse())
	if err != nil {
		return nil, err
	}
	c.reader.declaredLength = response.Length
	body := &responseBody{call: c}
	response.Feedback = body.reportedFeedback
	response.Body = body
	if response.Length < 0 || response.Length > maxBufferedBody {
		return response, nil
	}
	buffered := bytes.NewBuffer(make([]byte, 0, response.Length))
	if _, err := buffered.ReadFrom(body); err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(buffered)
	return response, nil
}

// handleRefusal ends the call with the refusal that the peer sent, and returns it.
func (c *call) handleRefusal(wire *hemlockwire.Refusal) error {
	refusal, err := decodeRefusal(wire, c.retryAllocation)
	if err != nil {
		return err
	}
	c.complete(c.reader.finish())
	if refusal.Reason == hemlockcall.ReasonLeaving {
		// The peer will soon close its connections; a call that is sent at that moment would have an unknown outcome.
		c.client.pool.closeIdle(c.address)
	}
	return refusal
}

// complete ends a call whose response or refusal is complete. The connection is kept only if the whole request was sent
// and the peer ended the stream without error, which it does only after it has received the whole request.
func (c *call) complete(streamErr error) {
	if streamErr == nil {
		select {
		case <-c.sendDone:
			if c.sendError == nil {
				c.release()
				return
			}
		case <-c.ctx.Done():
		}
	}
	c.discard()
}

// release returns the connection to the pool, or closes it if the context ends before drpc has finished the stream.
func (c *call) release() {
	c.endOnce.Do(func() {
		c.client.release(c.ctx, c.address, c.connection)
		c.cancel()
		c.releasePermit()
	})
}

// discard closes the connection, whose state is unknown.
func (c *call) discard() {
	c.endOnce.Do(func() {
		c.cancel()
		_ = c.connection.Close()
		c.releasePermit()
	})
}

// fail ends a call that has no complete response and returns a refusal: as not run if nothing was written to the
// connection, else with an unknown outcome.
func (c *call) fail(err error) *hemlockcall.Refusal {
	var refusal *hemlockcall.Refusal
	if errors.As(err, &refusal) {
		// The peer sent the refusal, or an earlier failure has already ended the call.
		return refusal
	}
	reason := contextReason(c.ctx, hemlockcall.ReasonConnection)
	unwritten := c.connection.transport.CloseIfUnwritten(c.writesBefore)
	c.discard()
	if isViolation(err) {
		c.client.settings.countViolation()
	}
	if c.sendDone != nil {
		select {
		case <-c.sendDone:
			if hemlockerror.KindOf[Kind](c.sendError) == KindBody {
				reason, err = hemlockcall.ReasonIncomplete, c.sendError
			}
		default:
		}
	}
	if unwritten {
		return hemlockcall.Refuse(reason, err.Error())
	}
	return hemlockcall.RefuseUnknown(reason, err.Error())
}
