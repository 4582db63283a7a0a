package hemlockcall

// Target is one back end.
type Target struct {
	// Address is the peer address of the node beside the target; it identifies the target.
	Address string
	// Zone is the availability zone of the target.
	Zone string
	// Service is the service that the target runs.
	Service string
	// Slots is the declared number of requests that the target runs at the same time.
	Slots int
	// Ready is false while the target is joining or leaving; it then gets no new calls.
	Ready bool
	// Generation changes when another process runs as the target; 0 if unknown.
	Generation uint64
}
