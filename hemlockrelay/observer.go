package hemlockrelay

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// Side says which part of a node decided.
type Side uint8

// The sides of a node.
const (
	// SideEntry is where clients' calls and the calls of the own target enter.
	SideEntry Side = iota
	// SideGate is the way to the own target.
	SideGate
)

// String returns the name used in logs and metrics.
func (s Side) String() string {
	if s == SideGate {
		return "gate"
	}
	return "entry"
}

// Observer is told of the end of each call on either side. Its methods must not block.
type Observer interface {
	// Answered is called for a call that got an answer of a target.
	Answered(side Side, call *hemlockcall.RelayRequest, answer *hemlockcall.RelayResponse, took time.Duration)
	// Refused is called for a call without an answer.
	Refused(side Side, call *hemlockcall.RelayRequest, refusal *hemlockcall.Refusal, took time.Duration)
	// Retried is called when an attempt ended so that another one is made.
	Retried(call *hemlockcall.RelayRequest, address string, refusal *hemlockcall.Refusal, attempt int)
}
