package hemlockservice

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"hemlockhollow/hemlockcall"
)

// The bounds of values. They reject slips of the pen, such as a timeout of hours, rather than unusual sizes.
const (
	maxSlots          = 100_000
	maxConnections    = 1_000_000
	maxRetries        = 16
	maxRank           = 255
	maxClasses        = 256
	maxMatches        = 64
	maxCustomers      = 4096
	maxPath           = 1024
	maxBody           = 4 << 30
	maxAnswer         = 4 << 30
	maxStoredAnswer   = 1 << 20
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = 10 * time.Minute
	minClaimRetention = time.Minute
	maxClaimRetention = 30 * 24 * time.Hour
)

var (
	nameFormat   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	methodFormat = regexp.MustCompile(`^[A-Z]{1,32}$`)
	digestFormat = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathFormat   = regexp.MustCompile(`^/[ -~]*$`)
)

const nameRule = "a name has lower-case letters, digits and hyphens, starts with a letter and is at most 63 long"

// check reports every value that is out of range or contradicts another.
func (d draft) check(r *reporter) {
	checkName(r, "name", "service", d.Name)
	checkRange(r, "slots", d.Slots, 1, maxSlots)
	checkRange(r, "connections", d.Connections, 1, maxConnections)
	if d.Connections < d.Slots {
		r.report("connections", "connections is %d, but %d slots need at least as many", d.Connections, d.Slots)
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
	taken := map[matchDraft]string{}
	for i, c := range d.Classes {
		at := fmt.Sprintf("class[%d]", i)
		checkName(r, at, "class", c.Name)
		if names[c.Name] {
			r.report(at, "duplicate class %q", c.Name)
		}
		names[c.Name] = true
		c.check(r, at)
		c.checkMatches(r, at, taken)
		if len(c.Matches) == 0 && c.Name != d.DefaultClass {
			r.report(at, "class %q can never match: it has no match block and is not the default-class", c.Name)
		}
	}
	if d.DefaultClass == "" {
		return
	}
	if !names[d.DefaultClass] {
		r.report("default-class", "default-class %q is not a class of this file", d.DefaultClass)
	}
	if all, ok := taken[matchDraft{Path: anyRemainder}]; ok {
		r.report("default-class", "default-class can never match: class %q matches every request", all)
	}
}

func (c classDraft) check(r *reporter, at string) {
	if _, ok := hemlockcall.ParsePriority(c.Priority); !ok {
		r.report(at+".priority", "priority %q is unknown; allowed are critical, important and sheddable", c.Priority)
	}
	if c.Repeat != repeatNever && c.Repeat != repeatSafe {
		r.report(at+".repeat", "repeat %q is unknown; allowed are never and safe", c.Repeat)
	}
	checkDuration(r, at+".timeout", c.Timeout, minTimeout, maxTimeout)
	checkRange(r, at+".retries", c.Retries, 0, maxRetries)
	checkSize(r, at+".max-body", c.MaxBody, maxBody)
	checkSize(r, at+".max-answer", c.MaxAnswer, maxAnswer)
	if c.Repeat == repeatNever && c.MaxBody > maxClaimedBody {
		r.report(at+".max-body", "max-body is %s; the body of a class that is never repeated is held whole, at most %s",
			formatSize(int64(c.MaxBody)), formatSize(maxClaimedBody))
	}
	if c.Repeat == repeatNever && c.MaxAnswer > maxStoredAnswer {
		r.report(at+".max-answer", "max-answer is %s; the response of a class that is never repeated is stored, at most %s",
			formatSize(int64(c.MaxAnswer)), formatSize(maxStoredAnswer))
	}
}

// checkMatches reports malformed patterns and patterns that an earlier block already has.
func (c classDraft) checkMatches(r *reporter, at string, taken map[matchDraft]string) {
	if len(c.Matches) > maxMatches {
		r.report(at+".match", "a class has at most %d match blocks, not %d", maxMatches, len(c.Matches))
		return
	}
	for i, m := range c.Matches {
		place := fmt.Sprintf("%s.match[%d]", at, i)
		if m.Method != "" && !methodFormat.MatchString(m.Method) {
			r.report(place+".method", "method %q is not an HTTP method in upper case", m.Method)
		}
		if fault := faultOfPath(m.Path); fault != "" {
			r.report(place+".path", "path %q %s", m.Path, fault)
			continue
		}
		if other, ok := taken[m]; ok {
			r.report(place, "this match block can never match: class %q has the same method and path", other)
		}
		taken[m] = c.Name
	}
}

// faultOfPath says why a pattern's path could never match a canonical path; empty means that it can.
func faultOfPath(text string) string {
	if !pathFormat.MatchString(text) || len(text) > maxPath {
		return "has to start with a slash and have at most 1024 printable ASCII characters"
	}
	if strings.ContainsAny(text, "?#%") {
		return "can never match: queries and percent encoding are removed before matching"
	}
	prefix := strings.TrimSuffix(text, anyRemainder)
	if strings.Contains(prefix, "*") {
		return "has a * that is not a trailing /*"
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
		at := fmt.Sprintf("customer[%d]", i)
		checkName(r, at, "customer", c.Name)
		if names[c.Name] {
			r.report(at, "duplicate customer %q", c.Name)
		}
		names[c.Name] = true
		checkRange(r, at+".rank", c.Rank, 0, maxRank)
		if c.Digest != "" && !digestFormat.MatchString(c.Digest) {
			r.report(at+".token-sha256", "token-sha256 has to be 64 lower-case hexadecimal digits")
		}
	}
}

func checkName(r *reporter, path, what, name string) {
	if !nameFormat.MatchString(name) {
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

func keyOf(path string) string {
	return path[strings.LastIndexByte(path, '.')+1:]
}
