package hemlockpeer

import (
	"math"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// Limits on what a peer may send. They bound the memory that one frame can take and exclude values that no
// well-behaved node sends.
const (
	maximumHeaderBytes  = 64 << 10
	maximumHeaderFields = 256
	maximumPath         = 16 << 10
	maximumName         = 256
	maximumDetail       = 512
	maximumRemaining    = time.Hour
)

func encodeRequest(request *hemlockcall.Request, remaining time.Duration) (*hemlockwire.RequestHead, error) {
	headers, err := encodeHeader(request.Header)
	if err != nil {
		return nil, err
	}
	if len(request.Path) > maximumPath || !utf8.ValidString(request.Path) || !utf8.ValidString(request.Service) {
		return nil, violation("encode request", "path too long or not UTF-8")
	}
	c := request.Context
	return &hemlockwire.RequestHead{
		Trace:                 c.Trace[:],
		Span:                  c.Span[:],
		Customer:              c.Customer,
		Rank:                  uint32(c.Rank),
		Priority:              uint32(c.Priority),
		RemainingMilliseconds: uint32(min(remaining, maximumRemaining) / time.Millisecond),
		Retries:               uint32(max(c.RetryBudget, 0)),
		Depth:                 uint32(c.Depth),
		Service:               request.Service,
		Method:                request.Method,
		Path:                  request.Path,
		Headers:               headers,
		Length:                requestLength(request),
		Once:                  request.AtMostOnce,
		Fingerprint:           request.Fingerprint,
	}, nil
}

// requestLength returns the length of the body, 0 without a body, or -1 when unknown.
func requestLength(request *hemlockcall.Request) int64 {
	if request.Body == nil {
		return 0
	}
	return max(request.Length, -1)
}

func decodeRequest(head *hemlockwire.RequestHead) (*hemlockcall.Request, error) {
	const operation = "decode request"
	header, err := decodeHeader(head.GetHeaders())
	if err != nil {
		return nil, err
	}
	switch {
	case len(head.GetTrace()) != len(hemlockcall.TraceID{}) || len(head.GetSpan()) != len(hemlockcall.SpanID{}):
		return nil, violation(operation, "trace or span of wrong length")
	case head.GetRank() > math.MaxUint8 || head.GetPriority() >= uint32(hemlockcall.PriorityCount):
		return nil, violation(operation, "rank or priority out of range")
	case head.GetDepth() > math.MaxUint8 || head.GetRetries() > math.MaxInt16:
		return nil, violation(operation, "depth or retries out of range")
	case head.GetService() == "" || head.GetMethod() == "":
		return nil, violation(operation, "no service or method")
	case len(head.GetService())+len(head.GetMethod())+len(head.GetCustomer()) > maximumName:
		return nil, violation(operation, "service, method or customer too long")
	case len(head.GetPath()) > maximumPath || head.GetPath() == "" || head.GetPath()[0] != '/':
		return nil, violation(operation, "path too long or without slash")
	case head.GetLength() < -1:
		return nil, violation(operation, "negative length")
	}
	request := &hemlockcall.Request{
		Context: hemlockcall.Context{
			Trace:       hemlockcall.TraceID(head.GetTrace()),
			Span:        hemlockcall.SpanID(head.GetSpan()),
			Customer:    head.GetCustomer(),
			Rank:        uint8(head.GetRank()),
			Priority:    hemlockcall.Priority(head.GetPriority()),
			Remaining:   min(time.Duration(head.GetRemainingMilliseconds())*time.Millisecond, maximumRemaining),
			RetryBudget: int(head.GetRetries()),
			Depth:       uint8(head.GetDepth()),
		},
		Service:     head.GetService(),
		Method:      head.GetMethod(),
		Path:        head.GetPath(),
		Header:      header,
		Length:      head.GetLength(),
		AtMostOnce:  head.GetOnce(),
		Fingerprint: head.GetFingerprint(),
	}
	return request, nil
}

func encodeHeader(header http.Header) ([]*hemlockwire.Header, error) {
	size, fields := 0, make([]*hemlockwire.Header, 0, len(header))
	for name, values := range header {
		fields = append(fields, &hemlockwire.Header{Name: name, Values: values})
		size += headerSize(name, values)
		if !validHeader(name, values) {
			return nil, violation("encode header", "header field is not UTF-8")
		}
	}
	if size > maximumHeaderBytes || len(fields) > maximumHeaderFields {
		return nil, violation("encode header", "header too large")
	}
	return fields, nil
}

func decodeHeader(fields []*hemlockwire.Header) (http.Header, error) {
	if len(fields) > maximumHeaderFields {
		return nil, violation("decode header", "too many header fields")
	}
	size, header := 0, make(http.Header, len(fields))
	for _, f := range fields {
		size += headerSize(f.GetName(), f.GetValues())
		if size > maximumHeaderBytes {
			return nil, violation("decode header", "header too large")
		}
		if _, exists := header[f.GetName()]; exists || f.GetName() == "" {
			return nil, violation("decode header", "duplicate or empty header name")
		}
		header[f.GetName()] = f.GetValues()
	}
	return header, nil
}

// validHeader reports whether protobuf can carry the field: its strings are UTF-8.
func validHeader(name string, values []string) bool {
	for _, v := range values {
		if !utf8.ValidString(v) {
			return false
		}
	}
	return utf8.ValidString(name)
}

func headerSize(name string, values []string) int {
	size := len(name)
	for _, v := range values {
		size += len(v) + 1
	}
	return size
}

func encodeFeedback(feedback hemlockcall.Feedback) *hemlockwire.Feedback {
	return &hemlockwire.Feedback{
		Retries:  uint32(max(feedback.UnusedRetries, 0)),
		Level:    uint32(feedback.MinPriority),
		InFlight: uint32(max(feedback.InFlight, 0)),
		Limit:    uint32(max(feedback.Limit, 0)),
		Loads:    encodeLoads(feedback.Loads),
	}
}

const (
	// maximumLoads bounds the services in one feedback; a node reports the most loaded ones.
	maximumLoads = 16
	// percent is the unit of loads on the wire.
	percent = 100
	// highestLoad bounds a load, whatever a peer claims.
	highestLoad = 100
)

func encodeLoads(loads []hemlockcall.ServiceLoad) []*hemlockwire.ServiceLoad {
	if len(loads) == 0 {
		return nil
	}
	wire := make([]*hemlockwire.ServiceLoad, 0, len(loads))
	for _, l := range loads[:min(len(loads), maximumLoads)] {
		wire = append(wire, &hemlockwire.ServiceLoad{Service: l.Service,
			LoadPercent:     uint32(min(max(l.Load, 0), highestLoad) * percent),
			AgeMilliseconds: uint32(min(max(l.Age, 0), maximumRemaining) / time.Millisecond)})
	}
	return wire
}

// decodeLoads passes over services that no node names so.
func decodeLoads(wire []*hemlockwire.ServiceLoad) []hemlockcall.ServiceLoad {
	if len(wire) == 0 {
		return nil
	}
	loads := make([]hemlockcall.ServiceLoad, 0, min(len(wire), maximumLoads))
	for _, l := range wire[:min(len(wire), maximumLoads)] {
		if l.GetService() == "" || len(l.GetService()) > maximumName {
			continue
		}
		loads = append(loads, hemlockcall.ServiceLoad{Service: l.GetService(),
			Load: min(float64(l.GetLoadPercent())/percent, highestLoad),
			Age:  time.Duration(l.GetAgeMilliseconds()) * time.Millisecond})
	}
	return loads
}

// decodeFeedback never credits more retries than the share that the call brought, whatever the peer claims.
func decodeFeedback(feedback *hemlockwire.Feedback, share int) (hemlockcall.Feedback, error) {
	if feedback.GetLevel() >= uint32(hemlockcall.PriorityCount) {
		return hemlockcall.Feedback{}, violation("decode feedback", "level out of range")
	}
	return hemlockcall.Feedback{
		UnusedRetries: min(int(feedback.GetRetries()), max(share, 0)),
		MinPriority:   hemlockcall.Priority(feedback.GetLevel()),
		InFlight:      int(min(feedback.GetInFlight(), math.MaxInt32)),
		Limit:         int(min(feedback.GetLimit(), math.MaxInt32)),
		Loads:         decodeLoads(feedback.GetLoads()),
	}, nil
}

func encodeRefusal(refusal *hemlockcall.Refusal) *hemlockwire.Refusal {
	wait := min(max(refusal.RetryAfter, 0), maximumRemaining)
	return &hemlockwire.Refusal{
		Verdict:                uint32(refusal.Verdict),
		Reason:                 string(refusal.Reason),
		Detail:                 strings.ToValidUTF8(refusal.Detail[:min(len(refusal.Detail), maximumDetail)], ""),
		RetryAfterMilliseconds: uint32((wait + time.Millisecond - 1) / time.Millisecond),
		Feedback:               encodeFeedback(refusal.Feedback),
		Reached:                refusal.ReachedTarget,
	}
}

func decodeRefusal(refusal *hemlockwire.Refusal, share int) (*hemlockcall.Refusal, error) {
	feedback, err := decodeFeedback(refusal.GetFeedback(), share)
	if err != nil {
		return nil, err
	}
	if refusal.GetVerdict() > uint32(hemlockcall.VerdictNotRun) || refusal.GetReason() == "" ||
		len(refusal.GetReason()) > maximumName || len(refusal.GetDetail()) > maximumDetail {
		return nil, violation("decode refusal", "verdict, reason or detail out of range")
	}
	return &hemlockcall.Refusal{
		Verdict:       hemlockcall.Verdict(refusal.GetVerdict()),
		Reason:        hemlockcall.Reason(refusal.GetReason()),
		Detail:        refusal.GetDetail(),
		RetryAfter:    min(time.Duration(refusal.GetRetryAfterMilliseconds())*time.Millisecond, maximumRemaining),
		Feedback:      feedback,
		SentByNode:    true,
		ReachedTarget: refusal.GetReached(),
	}, nil
}

func encodeResponse(response *hemlockcall.Response) (*hemlockwire.ResponseHead, error) {
	headers, err := encodeHeader(response.Header)
	if err != nil {
		return nil, err
	}
	return &hemlockwire.ResponseHead{
		Status:  uint32(response.Status),
		Headers: headers,
		Length:  max(response.Length, -1),
	}, nil
}

func decodeResponse(head *hemlockwire.ResponseHead) (*hemlockcall.Response, error) {
	header, err := decodeHeader(head.GetHeaders())
	if err != nil {
		return nil, err
	}
	if head.GetStatus() < 200 || head.GetStatus() > 999 || head.GetLength() < -1 {
		return nil, violation("decode response", "status or length out of range")
	}
	return &hemlockcall.Response{Status: int(head.GetStatus()), Header: header, Length: head.GetLength()}, nil
}
