// Package hemlockcall defines the types that all packages share: priorities, classes, requests, responses and refusals.
// It does no I/O.
package hemlockcall

// Priority is the order in which requests are shed under load; a higher value is shed later.
type Priority uint8

// The priorities, lowest first.
const (
	// Sheddable is browsing traffic: shed first.
	Sheddable Priority = iota
	// Important is traffic such as uploads and status pages, whose loss causes rework.
	Important
	// Critical is order bookings and counter lookups: shed only after all other traffic.
	Critical
)

// PriorityCount is the number of priorities, for arrays indexed by Priority.
const PriorityCount = int(Critical) + 1

var priorityNames = [PriorityCount]string{"sheddable", "important", "critical"}

// String returns the name used in service files and metrics.
func (p Priority) String() string {
	if int(p) < PriorityCount {
		return priorityNames[p]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (p Priority) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an Error with KindInvalid for an unknown name.
func (p *Priority) UnmarshalText(text []byte) error {
	parsed, ok := ParsePriority(string(text))
	if !ok {
		return newError("parse priority", KindInvalid, "unknown priority "+string(text))
	}
	*p = parsed
	return nil
}

// ParsePriority returns the priority with the given name, or false if there is none.
func ParsePriority(name string) (Priority, bool) {
	for i, priorityName := range priorityNames {
		if priorityName == name {
			return Priority(i), true
		}
	}
	return Sheddable, false
}
