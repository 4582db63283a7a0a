package hemlockpeer

import (
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// partSize is the largest part of a body in one parcel, so that a long body does not hold up the calls beside it.
const partSize = 128 << 10

// Values of Parcel.Probe.
const (
	probeAsk    = 1
	probeAnswer = 2
)

func encodeRelay(call *hemlockcall.RelayRequest) *hemlockwire.RelayRequest {
	return &hemlockwire.RelayRequest{
		Id: []byte(call.ID), Service: call.Service, Origin: call.CallingService, Method: []byte(call.Method),
		Host: []byte(call.Host), Path: []byte(call.Path),
		Header: []byte(call.Header), RemainingMicroseconds: microseconds(call.Remaining),
		Priority: uint32(call.Priority), Class: call.Class, Depth: uint32(call.Depth), Repeatable: call.Idempotent,
		Fingerprint: call.Fingerprint, ObjectiveMicroseconds: microseconds(call.LatencyObjective),
	}
}

func decodeRelay(wire *hemlockwire.RelayRequest) *hemlockcall.RelayRequest {
	return &hemlockcall.RelayRequest{
		ID: string(wire.GetId()), Service: wire.GetService(), CallingService: wire.GetOrigin(), Method: string(wire.GetMethod()),
		Host: string(wire.GetHost()), Path: string(wire.GetPath()), Header: hemlockcall.HeaderLines(wire.GetHeader()),
		Remaining:        fromMicroseconds(wire.GetRemainingMicroseconds()),
		Priority:         hemlockcall.Priority(min(wire.GetPriority(), uint32(hemlockcall.Critical))),
		Class:            wire.GetClass(),
		Depth:            uint8(min(wire.GetDepth(), hemlockcall.MaxDepth)),
		Idempotent:       wire.GetRepeatable(),
		Fingerprint:      wire.GetFingerprint(),
		LatencyObjective: fromMicroseconds(wire.GetObjectiveMicroseconds()),
	}
}

func encodeRelayAnswer(answer *hemlockcall.RelayResponse) *hemlockwire.RelayAnswer {
	return &hemlockwire.RelayAnswer{
		Status: uint32(answer.Status), Header: []byte(answer.Header), Feedback: encodeFeedback(answer.Feedback),
		ServiceMicroseconds: microseconds(answer.ServiceTime),
	}
}

func decodeRelayAnswer(wire *hemlockwire.RelayAnswer) (*hemlockcall.RelayResponse, error) {
	feedback, err := decodeFeedback(wire.GetFeedback(), 0)
	if err != nil {
		return nil, err
	}
	return &hemlockcall.RelayResponse{
		Status: int(wire.GetStatus()), Header: hemlockcall.HeaderLines(wire.GetHeader()), Feedback: feedback,
		ServiceTime: fromMicroseconds(wire.GetServiceMicroseconds()),
	}, nil
}

func microseconds(d time.Duration) uint64 {
	return uint64(max(d, 0) / time.Microsecond)
}

func fromMicroseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maximumRemaining/time.Microsecond))) * time.Microsecond
}

// partsOf puts a body into its first parcel and, where it is long, into further ones.
func partsOf(first *hemlockwire.Parcel, body []byte) []*hemlockwire.Parcel {
	parcels := []*hemlockwire.Parcel{first}
	last := first
	for len(body) > partSize {
		last.Body, last.More, body = body[:partSize], true, body[partSize:]
		last = &hemlockwire.Parcel{Call: first.Call}
		parcels = append(parcels, last)
	}
	last.Body = body
	return parcels
}
