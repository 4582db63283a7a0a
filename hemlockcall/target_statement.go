package hemlockcall

// RateLimit is a limit on the requests per second that a target accepts from all nodes together. The zero value is no
// limit.
type RateLimit struct {
	// Stated is false if there is no limit.
	Stated bool `json:"stated"`
	// PerSecond is finite and not negative; it is 0 without a limit, but a stated limit may be 0 too.
	PerSecond float64 `json:"per-second"`
}

// TargetStatement is what a target states about itself in the headers of a response.
type TargetStatement struct {
	// RateLimit applies until a later response states another one, or none.
	RateLimit RateLimit
	// KeepsRateLimit is set if the response says nothing about the limit, so that the previous one still applies. RateLimit
	// is then the zero value.
	KeepsRateLimit bool
	// Leaving is set by a target that is about to end and accepts no new requests.
	Leaving bool
}
