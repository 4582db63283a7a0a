package hemlockconfiguration

import (
	"fmt"

	"hemlockhollow/hemlockservice"
)

// Change is one change to publish: the content of a service file, or the removal of a service.
type Change struct {
	// Source is the name of the file or a description of the removal, for messages.
	Source string
	// Text is the content of the file; unused for a removal.
	Text []byte
	// RemovedService is the service to remove; empty for a service file.
	RemovedService string
	// BaseVersion is the configuration version that the change is based on. The publish conflicts if the service was
	// changed after it. 0 means the version at the start of the publish.
	BaseVersion uint64
}

// Removal returns the change that removes a service.
func Removal(service string, base uint64) Change {
	return Change{Source: "removal of " + service, RemovedService: service, BaseVersion: base}
}

// parsedChange is a Change whose service file has been parsed.
type parsedChange struct {
	source  Change
	name    string                  // of the service
	service *hemlockservice.Service // nil for a removal
}

// Check parses the service files of the changes and returns the valid services and all problems. Two changes of one
// service are a problem too.
func Check(changes []Change) ([]hemlockservice.Service, hemlockservice.Problems) {
	parsed, problems := parseChanges(changes)
	var services []hemlockservice.Service
	for _, c := range parsed {
		if c.service != nil {
			services = append(services, *c.service)
		}
	}
	return services, problems
}

func parseChanges(changes []Change) ([]parsedChange, hemlockservice.Problems) {
	var parsed []parsedChange
	var problems hemlockservice.Problems
	sourceOf := map[string]string{} // service name to the name of its change
	for _, c := range changes {
		p := parsedChange{source: c, name: c.RemovedService}
		if c.RemovedService == "" {
			s, found := hemlockservice.Parse(c.Source, c.Text)
			if len(found) > 0 {
				problems = append(problems, found...)
				continue
			}
			p.name, p.service = s.Name, &s
		}
		if other, ok := sourceOf[p.name]; ok {
			problems = append(problems, hemlockservice.Problem{File: c.Source, Line: 1, Column: 1,
				Message: fmt.Sprintf("service %q is already in %s", p.name, other)})
			continue
		}
		sourceOf[p.name] = c.Source
		parsed = append(parsed, p)
	}
	return parsed, problems
}
