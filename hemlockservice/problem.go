package hemlockservice

import (
	"fmt"
	"sort"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"hemlockhollow/hemlockerror"
)

// Kind says what kind of error an operation of this package ended in.
type Kind string

// KindInvalid is an encoded service that breaks a rule of the service files.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Problem is one fault of a service file.
type Problem struct {
	// File is the name that was given to Parse.
	File string
	// Line and Column count from 1; they are the place of the key, value or block at fault.
	Line, Column int
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the problem as file:line:column: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
}

// Problems are all faults of one or more files, in the order of their positions. Empty means that the files are valid.
type Problems []Problem

// Error returns one line for each problem, so that Problems can be the cause of an error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// reporter collects problems by the path of the faulty value, at most one for each path: a value of the wrong type
// would otherwise also be reported as missing or out of range.
type reporter struct {
	file      string
	positions map[string]hcl.Pos
	reported  map[string]bool
	problems  Problems
}

func newReporter(file string) *reporter {
	return &reporter{file: file, positions: map[string]hcl.Pos{}, reported: map[string]bool{}}
}

// place records where the value of the path is.
func (r *reporter) place(path string, at hcl.Pos) {
	r.positions[path] = at
}

// report adds a problem at the position of the path or of its nearest enclosing block.
func (r *reporter) report(path, format string, arguments ...any) {
	if r.reported[path] {
		return
	}
	r.reported[path] = true
	r.reportAt(r.position(path), format, arguments...)
}

func (r *reporter) reportAt(at hcl.Pos, format string, arguments ...any) {
	message := strings.Join(strings.Fields(fmt.Sprintf(format, arguments...)), " ")
	r.problems = append(r.problems, Problem{File: r.file, Line: max(at.Line, 1), Column: max(at.Column, 1), Message: message})
}

func (r *reporter) position(path string) hcl.Pos {
	for {
		if at, ok := r.positions[path]; ok {
			return at
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return r.positions[""]
		}
		path = path[:dot]
	}
}

func (r *reporter) sorted() Problems {
	sort.SliceStable(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return r.problems
}
