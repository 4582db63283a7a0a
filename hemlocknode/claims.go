package hemlocknode

import (
	"context"
	"time"

	"hemlockhollow/hemlockclaim"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockpeer"
)

// unavailableClaims refuses all claims; it is used by a node that has no platform.
type unavailableClaims struct{}

func (unavailableClaims) Read(context.Context, string) (hemlockclaim.Row, bool, error) {
	return hemlockclaim.Row{}, false, hemlockclaim.NewError("read claim", hemlockclaim.KindUnavailable, "no --platform is set")
}

func (unavailableClaims) Write(context.Context, []hemlockclaim.Change) ([]bool, error) {
	return nil, hemlockclaim.NewError("write claim", hemlockclaim.KindUnavailable, "no --platform is set")
}

// collectorAvoidance is how long a collector that failed gets no claims: until its death is known in the view.
const collectorAvoidance = 5 * time.Second

// remoteClaims sends changes to the collector of the zone. A collector that failed is passed over for a while, so that
// its loss costs the claims of one moment only.
func remoteClaims(peers *hemlockpeer.Client, duties *Duties) hemlockclaim.RemoteWrite {
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
			// The connection could not be opened, so nothing was sent.
			duties.avoid(address, time.Now().Add(collectorAvoidance))
			return nil, hemlockclaim.WrapError("send claim", hemlockclaim.KindUnavailable, err)
		}
		duties.avoid(address, time.Now().Add(collectorAvoidance))
		return nil, hemlockclaim.WrapError("send claim", hemlockclaim.KindUnknown, err)
	}
}

// collectClaims is the collector's side: it writes the changes of other nodes with those of its own.
func collectClaims(writer hemlockclaim.Writer) func(context.Context, []hemlockpeer.ClaimChange) ([]bool, error) {
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
