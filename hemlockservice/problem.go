package hemlockservice

import (
	"fmt"
	"sort"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid is an encoded service that breaks a rule of the service files.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Problem is one error in a service file.
type Problem struct {
	// File is the name that was given to Parse.
	File string
	// Line and Column are the position of the invalid key, value or block; both count from 1.
	Line, Column int
	// Message says what is wrong and usually what is allowed.
	Message string
}

// String returns the problem as file:line:column: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
}

// Problems are all errors in one or more files, those of each file in the order of their positions. Empty means that
// the files are valid.
type Problems []Problem

// Error returns one line for each problem, so that Problems can be the cause of an error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// reporter collects problems by the path of the invalid value, such as class[0].timeout. The method report keeps at
// most one problem for each path: a value of the wrong type would otherwise also be reported as missing or out of
// range.
type reporter struct {
	file      string
	positions map[string]hcl.Pos // by path; the empty path is the service block
	reported  map[string]bool    // by path
	problems  Problems
}

func newReporter(file string) *reporter {
	return &reporter{file: file, positions: map[string]hcl.Pos{}, reported: map[string]bool{}}
}

// setPosition records the position of the value or block at the path.
func (r *reporter) setPosition(path string, position hcl.Pos) {
	r.positions[path] = position
}

// report adds a problem at the position of the path, or of its nearest enclosing block if the path has none.
func (r *reporter) report(path, format string, arguments ...any) {
	if r.reported[path] {
		return
	}
	r.reported[path] = true
	r.reportAt(r.positionOf(path), format, arguments...)
}

func (r *reporter) reportAt(position hcl.Pos, format string, arguments ...any) {
	message := strings.Join(strings.Fields(fmt.Sprintf(format, arguments...)), " ")
	r.problems = append(r.problems, Problem{File: r.file, Line: max(position.Line, 1), Column: max(position.Column, 1), Message: message})
}

func (r *reporter) positionOf(path string) hcl.Pos {
	for {
		if position, ok := r.positions[path]; ok {
			return position
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return r.positions[""]
		}
		path = path[:dot]
	}
}

func (r *reporter) sortedProblems() Problems {
	sort.SliceStable(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return r.problems
}
