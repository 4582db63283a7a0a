package hemlockconfiguration

import (
	"fmt"

	"hemlockhollow/hemlockservice"
)

// Change is one change to publish: a service file or the removal of a service.
type Change struct {
	// Name is the name of the file, for messages.
	Name string
	// Text is the content of the file; unused for a removal.
	Text []byte
	// RemovedService is the service to remove; empty for a service file.
	RemovedService string
	// BaseVersion is the version that the change starts from; 0 means the version at the start of the publish.
	BaseVersion uint64
}

// Removal returns the change that removes a service.
func Removal(service string, base uint64) Change {
	return Change{Name: "removal of " + service, RemovedService: service, BaseVersion: base}
}

// change is a File that has been read.
type change struct {
	file    Change
	name    string
	service *hemlockservice.Service // nil for a removal
}

// Check reads the files and reports all problems, including two files for one service.
func Check(files []Change) ([]hemlockservice.Service, hemlockservice.Problems) {
	changes, problems := readFiles(files)
	var services []hemlockservice.Service
	for _, c := range changes {
		if c.service != nil {
			services = append(services, *c.service)
		}
	}
	return services, problems
}

func readFiles(files []Change) ([]change, hemlockservice.Problems) {
	var changes []change
	var problems hemlockservice.Problems
	owner := map[string]string{}
	for _, f := range files {
		c := change{file: f, name: f.RemovedService}
		if f.RemovedService == "" {
			s, found := hemlockservice.Parse(f.Name, f.Text)
			if len(found) > 0 {
				problems = append(problems, found...)
				continue
			}
			c.name, c.service = s.Name, &s
		}
		if other, ok := owner[c.name]; ok {
			problems = append(problems, hemlockservice.Problem{File: f.Name, Line: 1, Column: 1,
				Message: fmt.Sprintf("service %q is already in %s", c.name, other)})
			continue
		}
		owner[c.name] = f.Name
		changes = append(changes, c)
	}
	return changes, problems
}
