package hemlockpeer

import (
	"math"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockorganisation"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// maxParcelBody is the largest part of a body in one parcel, in bytes, so that a long body does not delay other calls on
// the same stream.
const maxParcelBody = 128 << 10

// Values of Parcel.Probe.
const (
	probeRequest  = 1
	probeResponse = 2
)

func encodeRelayRequest(call *hemlockcall.RelayRequest) *hemlockwire.RelayRequest {
	return &hemlockwire.RelayRequest{
		Id: []byte(call.ID), Service: call.Service, Origin: call.CallingService, Method: []byte(call.Method),
		Host: []byte(call.Host), Path: []byte(call.Path),
		Header: []byte(call.Header), RemainingMicroseconds: microseconds(call.Remaining),
		Priority: uint32(call.Priority), Class: call.Class, Repeatable: call.Idempotent,
		Fingerprint: call.Fingerprint, ObjectiveMicroseconds: microseconds(call.LatencyObjective),
		Target: encodeTargetReport(call.TargetReport), Organisation: call.Organisation,
		OrganisationRank: uint32(call.OrganisationRank),
	}
}

func decodeRelayRequest(wire *hemlockwire.RelayRequest) *hemlockcall.RelayRequest {
	rank := uint8(min(wire.GetOrganisationRank(), math.MaxUint8))
	if wire.GetOrganisation() == "" && rank == 0 {
		rank = hemlockorganisation.DefaultRank // from a node of an older version, which sends no rank
	}
	return &hemlockcall.RelayRequest{
		ID: string(wire.GetId()), Service: wire.GetService(), CallingService: wire.GetOrigin(), Method: string(wire.GetMethod()),
		Host: string(wire.GetHost()), Path: string(wire.GetPath()), Header: hemlockcall.HeaderLines(wire.GetHeader()),
		Remaining:        fromMicroseconds(wire.GetRemainingMicroseconds()),
		Priority:         hemlockcall.Priority(min(wire.GetPriority(), uint32(hemlockcall.Critical))),
		Class:            wire.GetClass(),
		Idempotent:       wire.GetRepeatable(),
		Fingerprint:      wire.GetFingerprint(),
		LatencyObjective: fromMicroseconds(wire.GetObjectiveMicroseconds()),
		TargetReport:     decodeTargetReport(wire.GetTarget()),
		Organisation:     wire.GetOrganisation(),
		OrganisationRank: rank,
	}
}

func encodeRelayResponse(response *hemlockcall.RelayResponse) *hemlockwire.RelayAnswer {
	return &hemlockwire.RelayAnswer{
		Status: uint32(response.Status), Header: []byte(response.Header), Feedback: encodeFeedback(response.Feedback),
		ServiceMicroseconds: microseconds(response.ServiceTime),
	}
}

func decodeRelayResponse(wire *hemlockwire.RelayAnswer) (*hemlockcall.RelayResponse, error) {
	feedback, err := decodeFeedback(wire.GetFeedback(), 0)
	if err != nil {
		return nil, err
	}
	return &hemlockcall.RelayResponse{
		Status: int(wire.GetStatus()), Header: hemlockcall.HeaderLines(wire.GetHeader()), Feedback: feedback,
		ServiceTime: fromMicroseconds(wire.GetServiceMicroseconds()),
	}, nil
}

func encodeTargetReport(report hemlockcall.TargetReport) *hemlockwire.TargetReport {
	if report.Instance == "" {
		return nil
	}
	return &hemlockwire.TargetReport{Instance: []byte(report.Instance), StartTime: report.StartTime,
		Limited: report.RateLimit.Stated, PerSecond: report.RateLimit.PerSecond, Leaving: report.Leaving}
}

// decodeTargetReport returns a report without content if the name of the instance or the rate limit is out of range.
func decodeTargetReport(wire *hemlockwire.TargetReport) hemlockcall.TargetReport {
	perSecond := wire.GetPerSecond()
	if len(wire.GetInstance()) > maxNameLength || math.IsNaN(perSecond) || perSecond < 0 || math.IsInf(perSecond, 0) {
		return hemlockcall.TargetReport{}
	}
	return hemlockcall.TargetReport{Instance: string(wire.GetInstance()), StartTime: wire.GetStartTime(),
		RateLimit: hemlockcall.RateLimit{Stated: wire.GetLimited(), PerSecond: perSecond}, Leaving: wire.GetLeaving()}
}

func microseconds(d time.Duration) uint64 {
	return uint64(max(d, 0) / time.Microsecond)
}

func fromMicroseconds(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxDuration/time.Microsecond))) * time.Microsecond
}

// splitBody adds a body to the first parcel of a request or response. What exceeds maxParcelBody goes into further
// parcels.
func splitBody(first *hemlockwire.Parcel, body []byte) []*hemlockwire.Parcel {
	parcels := []*hemlockwire.Parcel{first}
	last := first
	for len(body) > maxParcelBody {
		last.Body, last.More, body = body[:maxParcelBody], true, body[maxParcelBody:]
		last = &hemlockwire.Parcel{Call: first.Call}
		parcels = append(parcels, last)
	}
	last.Body = body
	return parcels
}
