package hemlockpeer

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer/hemlockwire"
	"hemlockhollow/hemlockquota"
)

const (
	// maxQuotaDemands is the number of organisations in one quota request or answer. Requests for more are rejected.
	maxQuotaDemands = 8192
	// maxQuotaTokens limits the tokens that are asked for, returned or granted at once.
	maxQuotaTokens = 1 << 20
	// maxQuotaPartitions and maxQuotaPopulation limit what a peer may state.
	maxQuotaPartitions = 1 << 16
	maxQuotaPopulation = 1 << 20
	// maxOrganisationName is the length of the longest name of an organisation in bytes.
	maxOrganisationName = 1024
)

// QuotaHandler handles a quota request of a peer. The context ends when the peer has given up.
type QuotaHandler = func(context.Context, hemlockquota.Request) (hemlockquota.Answer, error)

// WithQuotaHandler sets the function that handles quota requests.
func WithQuotaHandler(handler QuotaHandler) Option {
	return func(s *settings) { s.quotaHandler = handler }
}

// RequestQuota sends a quota request to a pool and returns its answer. IsUnsent and IsNotListening classify the errors.
func (c *Client) RequestQuota(ctx context.Context, address string, request hemlockquota.Request) (hemlockquota.Answer, error) {
	var answer hemlockquota.Answer
	var invalid error
	err := c.sendControl(ctx, address, func(ctx context.Context, node hemlockwire.DRPCNodeClient) error {
		wire, err := node.RequestQuota(ctx, encodeQuotaRequest(request))
		if err == nil {
			answer, invalid = decodeQuotaAnswer(wire)
		}
		return err
	})
	if err == nil && invalid != nil {
		c.settings.countViolation()
		return hemlockquota.Answer{}, invalid
	}
	return answer, err
}

// IsUnsent reports whether an error of a control message means that nothing was sent.
func IsUnsent(err error) bool {
	kind := hemlockerror.KindOf[Kind](err)
	return kind == KindConnection || kind == KindCapacity || kind == KindClosed
}

// IsNotListening reports whether an error means that the connection was refused when it was opened: no process listens at the address.
func IsNotListening(err error) bool { return IsUnsent(err) && errors.Is(err, syscall.ECONNREFUSED) }

// RequestQuota implements hemlockwire.DRPCNodeServer.
func (s *service) RequestQuota(ctx context.Context, wire *hemlockwire.QuotaRequest) (*hemlockwire.QuotaAnswer, error) {
	if s.server.settings.quotaHandler == nil {
		return nil, notServed("request quota")
	}
	request, err := decodeQuotaRequest(wire)
	if err != nil {
		s.server.settings.countViolation()
		return nil, err
	}
	answer, err := s.server.settings.quotaHandler(ctx, request)
	if err != nil {
		return nil, err
	}
	return encodeQuotaAnswer(answer), nil
}

func encodeQuotaRequest(request hemlockquota.Request) *hemlockwire.QuotaRequest {
	wire := &hemlockwire.QuotaRequest{From: request.From, Level: uint32(request.Level), LentFraction: request.Lent.Value(),
		LeaseMilliseconds: uint32(request.Lease / time.Millisecond), Population: uint32(request.Population),
		Reclaimed: request.Reclaimed, Partition: uint32(request.Partition), Partitions: uint32(request.Partitions),
		Clock: request.Clock, Number: request.Number, Renews: request.Renews, DemandsOnly: request.DemandsOnly}
	for _, d := range request.Demands {
		wire.Demands = append(wire.Demands, &hemlockwire.QuotaDemand{Organisation: d.Organisation, Wanted: uint32(d.Wanted),
			Returned: uint32(d.Returned), LentFraction: d.Lent.Value()})
	}
	return wire
}

func decodeQuotaRequest(wire *hemlockwire.QuotaRequest) (hemlockquota.Request, error) {
	const operation = "request quota"
	switch {
	case wire.GetFrom() == "" || len(wire.GetFrom()) > maxOrganisationName:
		return hemlockquota.Request{}, violation(operation, "invalid address of the caller")
	case wire.GetLevel() > 1:
		return hemlockquota.Request{}, violation(operation, "unknown level")
	case wire.GetPartitions() == 0 || wire.GetPartitions() > maxQuotaPartitions || wire.GetPartition() >= wire.GetPartitions():
		return hemlockquota.Request{}, violation(operation, "invalid partition")
	case !isFraction(wire.GetLentFraction()):
		return hemlockquota.Request{}, violation(operation, "invalid fraction")
	case wire.GetPopulation() > maxQuotaPopulation || len(wire.GetDemands()) > maxQuotaDemands:
		return hemlockquota.Request{}, violation(operation, "number out of range")
	}
	request := hemlockquota.Request{From: wire.GetFrom(), Level: int(wire.GetLevel()), Partition: int(wire.GetPartition()),
		Partitions: int(wire.GetPartitions()), Clock: wire.GetClock(), Lent: hemlockquota.Of(wire.GetLentFraction()),
		Lease: time.Duration(wire.GetLeaseMilliseconds()) * time.Millisecond, Population: int(wire.GetPopulation()),
		Reclaimed: wire.GetReclaimed(), Number: wire.GetNumber(), Renews: wire.GetRenews(),
		DemandsOnly: wire.GetDemandsOnly()}
	if len(wire.GetDemands()) > 0 {
		request.Demands = make([]hemlockquota.Demand, 0, len(wire.GetDemands()))
	}
	seen := make(map[string]bool, len(wire.GetDemands()))
	for _, d := range wire.GetDemands() {
		name := d.GetOrganisation()
		if seen[name] || !isDemand(d) {
			return hemlockquota.Request{}, violation(operation, "invalid demand")
		}
		seen[name] = true
		request.Demands = append(request.Demands, hemlockquota.Demand{Organisation: name, Wanted: int(d.GetWanted()),
			Returned: int(d.GetReturned()), Lent: hemlockquota.Of(d.GetLentFraction())})
	}
	return request, nil
}

func isDemand(d *hemlockwire.QuotaDemand) bool {
	return isOrganisationName(d.GetOrganisation()) && isFraction(d.GetLentFraction()) && d.GetWanted() <= maxQuotaTokens &&
		d.GetReturned() <= maxQuotaTokens
}

func isOrganisationName(name string) bool { return name != "" && len(name) <= maxOrganisationName }

// isFraction is false for NaN too.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }

func encodeQuotaAnswer(answer hemlockquota.Answer) *hemlockwire.QuotaAnswer {
	wire := &hemlockwire.QuotaAnswer{Accepted: answer.Accepted, Population: uint32(answer.Population), Clock: answer.Clock,
		Number: answer.Number}
	for _, g := range answer.Grants {
		wire.Grants = append(wire.Grants, &hemlockwire.QuotaGrant{Organisation: g.Organisation, Granted: uint32(g.Granted),
			WaitMilliseconds: uint32((g.Wait + time.Millisecond - 1) / time.Millisecond)})
	}
	return wire
}

func decodeQuotaAnswer(wire *hemlockwire.QuotaAnswer) (hemlockquota.Answer, error) {
	const operation = "answer quota"
	if wire.GetPopulation() > maxQuotaPopulation || len(wire.GetGrants()) > maxQuotaDemands {
		return hemlockquota.Answer{}, violation(operation, "number out of range")
	}
	answer := hemlockquota.Answer{Accepted: wire.GetAccepted(), Population: int(wire.GetPopulation()), Clock: wire.GetClock(),
		Number: wire.GetNumber()}
	for _, g := range wire.GetGrants() {
		if !isOrganisationName(g.GetOrganisation()) || g.GetGranted() > maxQuotaTokens {
			return hemlockquota.Answer{}, violation(operation, "invalid grant")
		}
		answer.Grants = append(answer.Grants, hemlockquota.Grant{Organisation: g.GetOrganisation(), Granted: int(g.GetGranted()),
			Wait: time.Duration(g.GetWaitMilliseconds()) * time.Millisecond})
	}
	return answer, nil
}
