package hemlocknode

import (
	"context"
	"time"

	"hemlockhollow/hemlockclaim"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer"
)

// unavailableClaims is the claim store of a node without a platform; all its operations fail.
type unavailableClaims struct{}

func (unavailableClaims) Read(context.Context, string) (hemlockclaim.Row, bool, error) {
	return hemlockclaim.Row{}, false, hemlockclaim.NewError("read claim", hemlockclaim.KindUnavailable, "no --platform is set")
}

func (unavailableClaims) Write(context.Context, []hemlockclaim.Change) ([]bool, error) {
	return nil, hemlockclaim.NewError("write claim", hemlockclaim.KindUnavailable, "no --platform is set")
}

// batchingNodeAvoidance is how long no claims are forwarded to a batching node that failed. Until then the membership view
// shows whether the node is dead.
const batchingNodeAvoidance = 5 * time.Second

// sendClaims returns a function that sends changes to a batching node of the zone. A batching node that failed is avoided for
// batchingNodeAvoidance, so that only the claims in flight are affected when it crashes. An error of KindCapacity does not
// count as a failure of the batching node.
func sendClaims(peers *hemlockpeer.Client, duties *Duties) hemlockclaim.RemoteWrite {
	return func(ctx context.Context, address string, changes []hemlockclaim.Change) ([]bool, error) {
		sent := make([]hemlockpeer.ClaimChange, len(changes))
		for i, c := range changes {
			sent[i] = hemlockpeer.ClaimChange{Key: c.Key, Version: c.Version, Row: hemlockclaim.EncodeRow(c.Row)}
		}
		applied, err := peers.Claim(ctx, address, sent)
		if err == nil {
			return applied, nil
		}
		switch hemlockerror.KindOf[hemlockpeer.Kind](err) {
		case hemlockpeer.KindCapacity:
			return nil, hemlockclaim.WrapError("send claim", hemlockclaim.KindUnavailable, err)
		case hemlockpeer.KindConnection:
			// No connection could be opened, so nothing was sent.
			duties.avoid(address, time.Now().Add(batchingNodeAvoidance))
			return nil, hemlockclaim.WrapError("send claim", hemlockclaim.KindUnavailable, err)
		}
		duties.avoid(address, time.Now().Add(batchingNodeAvoidance))
		return nil, hemlockclaim.WrapError("send claim", hemlockclaim.KindUnknown, err)
	}
}

// handleClaims returns the handler of a batching node: it writes the changes of other nodes together with its own.
func handleClaims(writer hemlockclaim.Writer) func(context.Context, []hemlockpeer.ClaimChange) ([]bool, error) {
	return func(ctx context.Context, received []hemlockpeer.ClaimChange) ([]bool, error) {
		changes := make([]hemlockclaim.Change, len(received))
		for i, c := range received {
			row, err := hemlockclaim.DecodeRow(c.Row, 0)
			if err != nil {
				return nil, err
			}
			changes[i] = hemlockclaim.Change{Key: c.Key, Version: c.Version, Row: row}
		}
		return writer.Write(ctx, changes)
	}
}
