package hemlockpeer

import (
	"bytes"
	"context"
	"io"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// service implements the generated interface for a server.
type service struct {
	server *Server
}

func notServed(method string) error {
	return hemlockerror.New(method, KindRemote, "the node does not serve this method")
}

// Exchange implements hemlockwire.DRPCNodeServer.
func (s *service) Exchange(ctx context.Context, wire *hemlockwire.Gossip) (*hemlockwire.Gossip, error) {
	if s.server.settings.gossipHandler == nil {
		return nil, notServed("exchange")
	}
	reply, err := s.server.settings.gossipHandler(ctx, decodeGossip(wire))
	if err != nil {
		return nil, err
	}
	return encodeGossip(reply), nil
}

// FetchConfiguration implements hemlockwire.DRPCNodeServer.
func (s *service) FetchConfiguration(
	ctx context.Context, query *hemlockwire.ConfigurationQuery,
) (*hemlockwire.ConfigurationAnswer, error) {
	if s.server.settings.configurationHandler == nil {
		return nil, notServed("fetch configuration")
	}
	response, err := s.server.settings.configurationHandler(ctx, decodeConfigurationQuery(query))
	if err != nil {
		return nil, err
	}
	if len(response.Body) > maxMessageSize-chunkSize {
		// The reader of the peer would close the connection without a clear error.
		return nil, hemlockerror.New("fetch configuration", KindRemote, "configuration too large for one message")
	}
	return encodeConfigurationResponse(response), nil
}

// Claim implements hemlockwire.DRPCNodeServer.
func (s *service) Claim(ctx context.Context, batch *hemlockwire.ClaimBatch) (*hemlockwire.ClaimResults, error) {
	if s.server.settings.claimHandler == nil {
		return nil, notServed("claim")
	}
	applied, err := s.server.settings.claimHandler(ctx, decodeClaims(batch))
	if err != nil {
		return &hemlockwire.ClaimResults{Failure: err.Error()}, nil
	}
	return &hemlockwire.ClaimResults{Applied: applied}, nil
}

// Call implements hemlockwire.DRPCNodeServer.
func (s *service) Call(stream hemlockwire.DRPCNode_CallStream) error {
	call := &servedCall{server: s.server, stream: stream}
	err := call.serve()
	if isViolation(err) {
		s.server.settings.countViolation()
		if transport, ok := drpcctx.Transport(stream.Context()); ok {
			_ = transport.Close()
		}
	}
	return err
}

// servedCall is one call as the called node sees it.
type servedCall struct {
	server *Server
	stream hemlockwire.DRPCNode_CallStream
	reader *frameReader
	writer *frameWriter
	body   *requestBody // nil if the request is refused before its body is received
}

// errNotReusable ends the stream after a complete response or refusal whose connection must not be used again.
var errNotReusable = hemlockerror.New("call", KindClosed, "the connection cannot be reused")

func (c *servedCall) serve() error {
	c.reader = &frameReader{stream: c.stream, adoptCallID: true}
	frame, err := c.reader.next()
	if err != nil {
		return err
	}
	if frame.GetRequest() == nil {
		return violation("call", "first frame has no request head")
	}
	request, err := decodeRequest(frame.GetRequest())
	if err != nil {
		return err
	}
	c.reader.declaredLength = request.Length
	c.writer = &frameWriter{stream: c.stream, call: c.reader.call}
	if !c.server.beginCall() {
		refusal := hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the node is leaving")
		return c.refuse(refusal.WithFeedback(hemlockcall.Feedback{UnusedRetries: request.Context.RetryBudget}))
	}
	defer c.server.endCall()
	withdrawn, remove := c.server.calls.add(c.reader.call)
	defer remove()
	request.Withdrawn = withdrawn
	if request.Context.Remaining <= 0 {
		return c.refuse(hemlockcall.Refuse(hemlockcall.ReasonDeadline, "deadline exceeded on arrival"))
	}
	ctx, cancel := context.WithTimeout(c.stream.Context(), request.Context.Remaining)
	defer cancel()
	return c.run(ctx, cancel, request)
}

func (c *servedCall) run(ctx context.Context, cancel context.CancelFunc, request *hemlockcall.Request) error {
	c.body = newRequestBody(ctx, c.reader, cancel)
	defer c.body.close()
	switch {
	case request.Length == 0:
		if err := c.body.readAll(); err != nil {
			return err
		}
	case request.Length > 0 && request.Length <= chunkSize:
		// A small body is received before the handler runs, which saves a goroutine.
		if err := c.body.readAll(); err != nil {
			return err
		}
		request.Body = bytes.NewReader(c.body.part)
	default:
		go c.body.receive()
		request.Body = c.body
	}
	response, err := c.server.handler.Invoke(ctx, request)
	if err != nil {
		return c.refuse(hemlockcall.AsRefusal(err))
	}
	defer func() { _ = response.Body.Close() }()
	if err := c.respond(response); err != nil {
		return err
	}
	return c.endStream()
}

// endStream returns nil, which lets the calling node use the connection again, only if the whole request was received
// and checked and the server is not draining. The calling node closes a connection whose stream ends with an error, so
// that it sends no call on a connection that this node is about to close.
func (c *servedCall) endStream() error {
	if c.body == nil || c.server.isDraining() {
		return c.endWithoutReuse()
	}
	complete, err := c.body.complete()
	switch {
	case complete:
		return nil
	case isViolation(err):
		return err
	}
	return c.endWithoutReuse()
}

func (c *servedCall) endWithoutReuse() error {
	if err := flush(c.stream); err != nil {
		return err
	}
	return errNotReusable
}

func (c *servedCall) refuse(refusal *hemlockcall.Refusal) error {
	if err := c.writer.send(&hemlockwire.Frame{Refusal: encodeRefusal(refusal)}); err != nil {
		return err
	}
	return c.endStream()
}

func (c *servedCall) respond(response *hemlockcall.Response) error {
	head, err := encodeResponse(response)
	if err != nil {
		return c.refuse(hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, err.Error()))
	}
	if err := c.writer.send(&hemlockwire.Frame{Response: head}); err != nil {
		return err
	}
	streamed := head.GetLength() < 0 || head.GetLength() > maxBufferedBody
	if err := c.sendBody(response, streamed); err != nil {
		return err
	}
	return c.writer.end(encodeFeedback(response.Feedback()))
}

func (c *servedCall) sendBody(response *hemlockcall.Response, streamed bool) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	if streamed {
		if err := flush(c.stream); err != nil {
			return err
		}
	}
	for {
		count, err := response.Body.Read(*buffer)
		if count > 0 {
			if failure := c.writer.body((*buffer)[:count]); failure != nil {
				return failure
			}
			if streamed {
				if failure := flush(c.stream); failure != nil {
					return failure
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return hemlockerror.Wrap("send response", KindBody, err)
		}
	}
}

// disableManualFlush makes a stream flush each message that it sends, and no longer before it receives. A stream with manual
// flushing waits in Recv for a Send in progress. Two ends that both send long bodies would then wait for each other for ever.
// It must not be called while another goroutine uses the stream.
func disableManualFlush(stream drpc.Stream) {
	if wrapped, ok := stream.(interface{ GetStream() drpc.Stream }); ok {
		stream = wrapped.GetStream()
	}
	if flusher, ok := stream.(interface{ SetManualFlush(bool) }); ok {
		flusher.SetManualFlush(false)
	}
}

// flush sends the buffered data of a stream with manual flushing.
func flush(stream drpc.Stream) error {
	if wrapped, ok := stream.(interface{ GetStream() drpc.Stream }); ok {
		stream = wrapped.GetStream()
	}
	if flusher, ok := stream.(interface{ RawFlush() error }); ok {
		return flusher.RawFlush()
	}
	return nil
}
