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

// TargetReport is what a node knows of the statements of one process of a target. The node beside the target reports it to
// the entries of calls. They send it along with later calls, so that a restarted node knows it again before it has called the
// target.
type TargetReport struct {
	// Instance identifies the process; empty in a report without content.
	Instance string
	// StartTime distinguishes processes with the same instance; 0 means unknown.
	StartTime uint64
	// RateLimit is finite and not negative.
	RateLimit RateLimit
	// Leaving is set if the process is about to end and accepts no new requests.
	Leaving bool
}

// StatesAnything reports whether the process has a rate limit or is leaving.
func (r TargetReport) StatesAnything() bool {
	return r.RateLimit.Stated || r.Leaving
}

// IsAbout reports whether the report is about the given process. An unknown start time matches any.
func (r TargetReport) IsAbout(instance string, startTime uint64) bool {
	return r.Instance != "" && r.Instance == instance &&
		(r.StartTime == startTime || r.StartTime == 0 || startTime == 0)
}
