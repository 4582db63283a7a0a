package hemlockservice

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"hemlockhollow/hemlockcall"
)

// The limits of values. They are wide: they reject typing errors, such as a timeout of hours, rather than unusual
// sizes. Sizes are in bytes.
const (
	maxSlots          = 100_000
	maxConnections    = 1_000_000
	maxRetries        = 16
	maxRank           = 255
	maxClasses        = 256
	maxMatchBlocks    = 64
	maxCustomers      = 4096
	maxPathBytes      = 1024
	maxRequestBody    = 4 << 30
	maxResponseBody   = 4 << 30
	maxStoredResponse = 1 << 20
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = 10 * time.Minute
	minClaimRetention = time.Minute
	maxClaimRetention = 30 * 24 * time.Hour
)

var (
	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern   = regexp.MustCompile(`^/[ -~]*$`)
)

const nameRule = "a name has lower-case letters, digits and hyphens, starts with a letter and has at most 63 characters"

// check reports every value that is out of range or inconsistent with another value.
func (d draft) check(r *reporter) {
	checkName(r, "name", "service", d.Name)
	checkRange(r, "slots", d.Slots, 1, maxSlots)
	checkRange(r, "connections", d.Connections, 1, maxConnections)
	if d.Connections < d.Slots {
		r.report("connections", "connections is %d; it has to be at least slots, which is %d", d.Connections, d.Slots)
	}
	checkDuration(r, "claim-retention", d.ClaimRetention, minClaimRetention, maxClaimRetention)
	checkRange(r, "default-rank", d.DefaultRank, 0, maxRank)
	for i, status := range d.NotRunStatuses {
		if status < 400 || status > 599 {
			r.report("not-run-statuses", "not-run-statuses has %d; allowed are statuses from 400 to 599", status)
		}
		if slices.Contains(d.NotRunStatuses[:i], status) {
			r.report("not-run-statuses", "not-run-statuses has %d twice", status)
		}
	}
	d.checkClasses(r)
	d.checkCustomers(r)
}

func (d draft) checkClasses(r *reporter) {
	if len(d.Classes) == 0 {
		r.report("class", "a service needs at least one class block")
	}
	if len(d.Classes) > maxClasses {
		r.report("class", "a service has at most %d classes, not %d", maxClasses, len(d.Classes))
		return
	}
	names := map[string]bool{}
	classOf := map[matchDraft]string{}
	for i, c := range d.Classes {
		path := fmt.Sprintf("class[%d]", i)
		checkName(r, path, "class", c.Name)
		if names[c.Name] {
			r.report(path, "duplicate class %q", c.Name)
		}
		names[c.Name] = true
		c.check(r, path)
		c.checkMatches(r, path, classOf)
		if len(c.Matches) == 0 && c.Name != d.DefaultClass {
			r.report(path, "class %q can never match: it has no match block and is not the default-class", c.Name)
		}
	}
	if d.DefaultClass == "" {
		return
	}
	if !names[d.DefaultClass] {
		r.report("default-class", "default-class %q is not a class of this file", d.DefaultClass)
	}
	if catchAll, ok := classOf[matchDraft{Path: wildcardSuffix}]; ok {
		r.report("default-class", "default-class can never match: class %q matches every request", catchAll)
	}
}

func (c classDraft) check(r *reporter, path string) {
	if _, ok := hemlockcall.ParsePriority(c.Priority); !ok {
		r.report(path+".priority", "priority %q is unknown; allowed are critical, important and sheddable", c.Priority)
	}
	if c.Repeat != repeatNever && c.Repeat != repeatSafe {
		r.report(path+".repeat", "repeat %q is unknown; allowed are never and safe", c.Repeat)
	}
	checkDuration(r, path+".timeout", c.Timeout, minTimeout, maxTimeout)
	checkRange(r, path+".retries", c.Retries, 0, maxRetries)
	checkSize(r, path+".max-body", c.MaxBody, maxRequestBody)
	checkSize(r, path+".max-answer", c.MaxAnswer, maxResponseBody)
	if c.Repeat == repeatNever && c.MaxBody > maxClaimedRequestBody {
		r.report(path+".max-body", "max-body is %s; the request body of a class with repeat \"never\" is buffered in full, at most %s",
			formatSize(int64(c.MaxBody)), formatSize(maxClaimedRequestBody))
	}
	if c.Repeat == repeatNever && c.MaxAnswer > maxStoredResponse {
		r.report(path+".max-answer", "max-answer is %s; the response of a class with repeat \"never\" is stored with its claim, at most %s",
			formatSize(int64(c.MaxAnswer)), formatSize(maxStoredResponse))
	}
}

// checkMatches reports malformed match blocks and those that equal an earlier one of the service. classOf maps the
// earlier match blocks to the names of their classes; the blocks of this class are added to it.
func (c classDraft) checkMatches(r *reporter, path string, classOf map[matchDraft]string) {
	if len(c.Matches) > maxMatchBlocks {
		r.report(path+".match", "a class has at most %d match blocks, not %d", maxMatchBlocks, len(c.Matches))
		return
	}
	for i, m := range c.Matches {
		matchPath := fmt.Sprintf("%s.match[%d]", path, i)
		if m.Method != "" && !methodPattern.MatchString(m.Method) {
			r.report(matchPath+".method", "method %q is not an HTTP method in upper case", m.Method)
		}
		if problem := pathProblem(m.Path); problem != "" {
			r.report(matchPath+".path", "path %q %s", m.Path, problem)
			continue
		}
		if other, ok := classOf[m]; ok {
			r.report(matchPath, "this match block can never match: class %q has the same method and path", other)
		}
		classOf[m] = c.Name
	}
}

// pathProblem returns why the path of a match block is malformed or could never match a canonical path; empty if it is
// valid.
func pathProblem(path string) string {
	if !pathPattern.MatchString(path) || len(path) > maxPathBytes {
		return "has to start with a slash and have at most 1024 printable ASCII characters"
	}
	if strings.ContainsAny(path, "?#%") {
		return "can never match: queries and fragments are removed and percent encoding is decoded before matching"
	}
	prefix := strings.TrimSuffix(path, wildcardSuffix)
	if strings.Contains(prefix, "*") {
		return "has a * elsewhere than in a trailing /*"
	}
	if prefix == "" {
		return ""
	}
	if canonical, _ := canonicalPath(prefix); canonical != prefix {
		return "can never match: empty segments, dot segments and a trailing slash are removed before matching"
	}
	return ""
}

func (d draft) checkCustomers(r *reporter) {
	if len(d.Customers) > maxCustomers {
		r.report("customer", "a service has at most %d customers, not %d", maxCustomers, len(d.Customers))
		return
	}
	names := map[string]bool{}
	for i, c := range d.Customers {
		path := fmt.Sprintf("customer[%d]", i)
		checkName(r, path, "customer", c.Name)
		if names[c.Name] {
			r.report(path, "duplicate customer %q", c.Name)
		}
		names[c.Name] = true
		checkRange(r, path+".rank", c.Rank, 0, maxRank)
		if c.TokenDigest != "" && !digestPattern.MatchString(c.TokenDigest) {
			r.report(path+".token-sha256", "token-sha256 has to be 64 lower-case hexadecimal digits")
		}
	}
}

func checkName(r *reporter, path, what, name string) {
	if !namePattern.MatchString(name) {
		r.report(path, "%s name %q is malformed; %s", what, name, nameRule)
	}
}

func checkRange(r *reporter, path string, value, low, high int64) {
	if value < low || value > high {
		r.report(path, "%s is %d; allowed is %d to %d", keyOf(path), value, low, high)
	}
}

func checkDuration(r *reporter, path string, value duration, low, high time.Duration) {
	if time.Duration(value) < low || time.Duration(value) > high {
		r.report(path, "%s is %s; allowed is %s to %s", keyOf(path), formatDuration(time.Duration(value)),
			formatDuration(low), formatDuration(high))
	}
}

func checkSize(r *reporter, path string, value size, high int64) {
	if value < 1 || int64(value) > high {
		r.report(path, "%s is %s; allowed is 1B to %s", keyOf(path), formatSize(int64(value)), formatSize(high))
	}
}

// keyOf returns the last part of the path of a value, which is its key in the file.
func keyOf(path string) string {
	return path[strings.LastIndexByte(path, '.')+1:]
}
