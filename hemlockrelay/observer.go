package hemlockrelay

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// Side says which part of a node handled a call.
type Side uint8

// The sides of a node.
const (
	// SideEntry is the Entry, which accepts calls of clients and of the local target.
	SideEntry Side = iota
	// SideGate is the Gate of the local target.
	SideGate
)

// String returns the name used in logs and metrics.
func (s Side) String() string {
	if s == SideGate {
		return "gate"
	}
	return "entry"
}

// Observer is notified of each retry and of the end of each call on either side. Its methods must not block.
type Observer interface {
	// Answered is called for a call that got the response of a target; took is the time since its arrival on this side.
	Answered(side Side, call *hemlockcall.RelayRequest, response *hemlockcall.RelayResponse, took time.Duration)
	// Refused is called for a call that ended without a response: refused, failed or cancelled. Took is the time since
	// its arrival on this side; 0 for a new call tree that the entry refused.
	Refused(side Side, call *hemlockcall.RelayRequest, refusal *hemlockcall.Refusal, took time.Duration)
	// Retried is called when another attempt follows one that was refused or is late. The address is that of the refused
	// attempt, or of the hedge attempt where the first one is late; attempt is the number of targets tried so far,
	// including that of the hedge attempt.
	Retried(call *hemlockcall.RelayRequest, address string, refusal *hemlockcall.Refusal, attempt int)
}
