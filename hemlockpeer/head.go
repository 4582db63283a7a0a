package hemlockpeer

import (
	"math"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
	"hemlockhollow/hemlockresponse"
)

// Limits on what a peer may send, in bytes unless the name says otherwise. They limit the memory that one frame can use
// and reject values that no correct node sends.
const (
	maxHeaderBytes  = 64 << 10
	maxHeaderFields = 256
	maxPathLength   = 16 << 10
	maxNameLength   = 256
	maxDetailLength = 512
	// maxDuration limits remaining times, latency objectives, service times and retry delays. The ages of load reports and
	// crash records are limited only when they are sent.
	maxDuration = time.Hour
)

func encodeRequest(request *hemlockcall.Request, remaining time.Duration) (*hemlockwire.RequestHead, error) {
	headers, err := encodeHeader(request.Header)
	if err != nil {
		return nil, err
	}
	if len(request.Path) > maxPathLength || !utf8.ValidString(request.Path) || !utf8.ValidString(request.Service) {
		return nil, violation("encode request", "path too long, or path or service not UTF-8")
	}
	c := request.Context
	return &hemlockwire.RequestHead{
		Trace:                 c.Trace[:],
		Span:                  c.Span[:],
		Customer:              c.Customer,
		Rank:                  uint32(c.Rank),
		Priority:              uint32(c.Priority),
		RemainingMilliseconds: uint32(min(remaining, maxDuration) / time.Millisecond),
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
		return nil, violation(operation, "missing service or method")
	case len(head.GetService())+len(head.GetMethod())+len(head.GetCustomer()) > maxNameLength:
		return nil, violation(operation, "service, method or customer too long")
	case len(head.GetPath()) > maxPathLength || head.GetPath() == "" || head.GetPath()[0] != '/':
		return nil, violation(operation, "path too long or without leading slash")
	case head.GetLength() < -1:
		return nil, violation(operation, "body length out of range")
	}
	request := &hemlockcall.Request{
		Context: hemlockcall.Context{
			Trace:       hemlockcall.TraceID(head.GetTrace()),
			Span:        hemlockcall.SpanID(head.GetSpan()),
			Customer:    head.GetCustomer(),
			Rank:        uint8(head.GetRank()),
			Priority:    hemlockcall.Priority(head.GetPriority()),
			Remaining:   min(time.Duration(head.GetRemainingMilliseconds())*time.Millisecond, maxDuration),
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
		if !isUTF8Header(name, values) {
			return nil, violation("encode header", "header field is not UTF-8")
		}
	}
	if size > maxHeaderBytes || len(fields) > maxHeaderFields {
		return nil, violation("encode header", "header too large or with too many fields")
	}
	return fields, nil
}

func decodeHeader(fields []*hemlockwire.Header) (http.Header, error) {
	if len(fields) > maxHeaderFields {
		return nil, violation("decode header", "too many header fields")
	}
	size, header := 0, make(http.Header, len(fields))
	for _, f := range fields {
		size += headerSize(f.GetName(), f.GetValues())
		if size > maxHeaderBytes {
			return nil, violation("decode header", "header too large")
		}
		if _, exists := header[f.GetName()]; exists || f.GetName() == "" {
			return nil, violation("decode header", "duplicate or empty header name")
		}
		header[f.GetName()] = f.GetValues()
	}
	return header, nil
}

// isUTF8Header reports whether a header field is valid UTF-8, as strings in protobuf messages must be.
func isUTF8Header(name string, values []string) bool {
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
		Target:   encodeTargetReport(feedback.Target),
		Demands:  encodeDemands(feedback.Demands), OutstandingMicroseconds: microseconds(feedback.Outstanding),
		DemandRuns: uint32(min(max(feedback.DemandRuns, 0), maxDemandRuns)),
	}
}

const (
	// maxFeedbackLoads is the largest number of load reports in one feedback; a node reports the most loaded services.
	maxFeedbackLoads = 16
	// percent is the factor between a load and its value on the wire: a load of 1 is sent as 100.
	percent = 100
	// maxLoad is the largest load that is sent or accepted; larger ones are reduced to it.
	maxLoad = 100
	// permille is the factor between a fraction or a number of calls and its value on the wire.
	permille = 1000
	// maxFeedbackDemands is the largest number of demands in one feedback.
	maxFeedbackDemands = 16
	// maxCalls is the largest number of calls of one run at one service that is sent or accepted.
	maxCalls = 1000
	// maxSlotTime is the largest slot time of one run at one service that is sent or accepted.
	maxSlotTime = time.Hour
	// maxDemandRuns is the largest weight of a report of demands, so that no peer outweighs all others by a wrong one.
	maxDemandRuns = 1000
)

func encodeLoads(loads []hemlockcall.ServiceLoad) []*hemlockwire.ServiceLoad {
	if len(loads) == 0 {
		return nil
	}
	wire := make([]*hemlockwire.ServiceLoad, 0, len(loads))
	for _, l := range loads[:min(len(loads), maxFeedbackLoads)] {
		wire = append(wire, &hemlockwire.ServiceLoad{Service: l.Service,
			LoadPercent:            uint32(min(max(l.Load, 0), maxLoad) * percent),
			AgeMilliseconds:        uint32(min(max(l.Age, 0), maxDuration) / time.Millisecond),
			RefusedPermille:        uint32(min(max(l.Refused, 0), 1) * permille),
			RefusedAgeMilliseconds: uint32(min(max(l.RefusedAge, 0), maxDuration) / time.Millisecond)})
	}
	return wire
}

// decodeLoads skips load reports whose service name is empty or too long.
func decodeLoads(wire []*hemlockwire.ServiceLoad) []hemlockcall.ServiceLoad {
	if len(wire) == 0 {
		return nil
	}
	loads := make([]hemlockcall.ServiceLoad, 0, min(len(wire), maxFeedbackLoads))
	for _, l := range wire[:min(len(wire), maxFeedbackLoads)] {
		if l.GetService() == "" || len(l.GetService()) > maxNameLength {
			continue
		}
		loads = append(loads, hemlockcall.ServiceLoad{Service: l.GetService(),
			Load:    min(float64(l.GetLoadPercent())/percent, maxLoad),
			Age:     time.Duration(l.GetAgeMilliseconds()) * time.Millisecond,
			Refused: min(float64(l.GetRefusedPermille())/permille, 1), RefusedAge: time.Duration(l.GetRefusedAgeMilliseconds()) * time.Millisecond})
	}
	return loads
}

func encodeDemands(demands []hemlockcall.CallDemand) []*hemlockwire.CallDemand {
	if len(demands) == 0 {
		return nil
	}
	wire := make([]*hemlockwire.CallDemand, 0, len(demands))
	for _, d := range demands[:min(len(demands), maxFeedbackDemands)] {
		wire = append(wire, &hemlockwire.CallDemand{Service: d.Service, CallsPermille: uint32(min(max(d.Calls, 0), maxCalls) * permille),
			SlotMicroseconds: microseconds(min(d.SlotTime, maxSlotTime))})
	}
	return wire
}

// decodeDemands skips demands without a call, and those whose service name is empty or too long.
func decodeDemands(wire []*hemlockwire.CallDemand) []hemlockcall.CallDemand {
	if len(wire) == 0 {
		return nil
	}
	demands := make([]hemlockcall.CallDemand, 0, min(len(wire), maxFeedbackDemands))
	for _, d := range wire[:min(len(wire), maxFeedbackDemands)] {
		if d.GetService() == "" || len(d.GetService()) > maxNameLength || d.GetCallsPermille() == 0 {
			continue
		}
		demands = append(demands, hemlockcall.CallDemand{Service: d.GetService(),
			Calls:    min(float64(d.GetCallsPermille())/permille, maxCalls),
			SlotTime: min(fromMicroseconds(d.GetSlotMicroseconds()), maxSlotTime)})
	}
	return demands
}

// decodeFeedback limits the unused retries to the allocation that the call carried, whatever the peer reports.
func decodeFeedback(feedback *hemlockwire.Feedback, allocation int) (hemlockcall.Feedback, error) {
	if feedback.GetLevel() >= uint32(hemlockcall.PriorityCount) {
		return hemlockcall.Feedback{}, violation("decode feedback", "level out of range")
	}
	return hemlockcall.Feedback{
		UnusedRetries: min(int(feedback.GetRetries()), max(allocation, 0)),
		MinPriority:   hemlockcall.Priority(feedback.GetLevel()),
		InFlight:      int(min(feedback.GetInFlight(), math.MaxInt32)),
		Limit:         int(min(feedback.GetLimit(), math.MaxInt32)),
		Loads:         decodeLoads(feedback.GetLoads()),
		Target:        decodeTargetReport(feedback.GetTarget()),
		Demands:       decodeDemands(feedback.GetDemands()),
		DemandRuns:    int(min(feedback.GetDemandRuns(), maxDemandRuns)),
		Outstanding:   fromMicroseconds(feedback.GetOutstandingMicroseconds()),
	}, nil
}

func encodeRefusal(refusal *hemlockcall.Refusal) *hemlockwire.Refusal {
	wait := min(max(refusal.RetryAfter, 0), maxDuration)
	return &hemlockwire.Refusal{
		Verdict:                uint32(refusal.Verdict),
		Reason:                 string(refusal.Reason),
		Detail:                 strings.ToValidUTF8(refusal.Detail[:min(len(refusal.Detail), maxDetailLength)], ""),
		RetryAfterMilliseconds: uint32((wait + time.Millisecond - 1) / time.Millisecond),
		Feedback:               encodeFeedback(refusal.Feedback),
		Reached:                refusal.ReachedTarget,
	}
}

func decodeRefusal(refusal *hemlockwire.Refusal, allocation int) (*hemlockcall.Refusal, error) {
	feedback, err := decodeFeedback(refusal.GetFeedback(), allocation)
	if err != nil {
		return nil, err
	}
	if refusal.GetVerdict() > uint32(hemlockcall.VerdictNotRun) || refusal.GetReason() == "" ||
		len(refusal.GetReason()) > maxNameLength || len(refusal.GetDetail()) > maxDetailLength {
		return nil, violation("decode refusal", "verdict, reason or detail out of range")
	}
	return &hemlockcall.Refusal{
		Verdict:       hemlockcall.Verdict(refusal.GetVerdict()),
		Reason:        hemlockcall.Reason(refusal.GetReason()),
		Detail:        refusal.GetDetail(),
		RetryAfter:    min(time.Duration(refusal.GetRetryAfterMilliseconds())*time.Millisecond, maxDuration),
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
	if err := hemlockresponse.CheckHead(int(head.GetStatus()), header); err != nil {
		return nil, violation("decode response", err.Error())
	}
	if head.GetLength() < -1 {
		return nil, violation("decode response", "length out of range")
	}
	return &hemlockcall.Response{Status: int(head.GetStatus()), Header: header, Length: head.GetLength()}, nil
}
