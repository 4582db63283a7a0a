// Package hemlockexplain tells from log files what happened to one request: its lines on all nodes, in order, with the
// changes that the nodes concerned saw shortly before.
package hemlockexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// before and after bound which changes of a node belong to a request: the time in which news spreads.
	before = 3 * time.Second
	after  = 200 * time.Millisecond
	// longestLine bounds a line of a log file.
	longestLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	// Time is when the node wrote it, by the node's own clock.
	Time time.Time
	// Host is the name of the host; empty in a line without one.
	Host string
	// Message says what was decided or changed.
	Message string
	// Request is the id of the request; empty in lines about the node itself.
	Request string
	// Fields holds the other fields.
	Fields map[string]any
}

// Read reads the lines of a log. Text before the JSON object of a line is passed over; lines without one are counted.
func Read(source io.Reader) (lines []Line, unread int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			unread++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unread, errors.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, take("ts"))
	if err != nil {
		return Line{}, false
	}
	delete(fields, "level")
	return Line{Time: at, Host: take("host"), Message: take("msg"), Request: take("request"), Fields: fields}, true
}

// Timeline returns the lines of a request and the changes on its hosts around it, in order of time. It is empty when no
// line names the request.
func Timeline(lines []Line, request string) []Line {
	var first, last time.Time
	hosts := map[string]bool{}
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		hosts[l.Host] = true
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var story []Line
	for _, l := range lines {
		isChange := l.Request == "" && hosts[l.Host] && l.Time.After(first.Add(-before)) && l.Time.Before(last.Add(after))
		if request != "" && l.Request == request || isChange {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// Print writes a story, one line each: the time since the first line in milliseconds, the host, the message, the fields.
func Print(out io.Writer, story []Line, request string) error {
	for _, l := range story {
		mark := " "
		if l.Request == request {
			mark = "*"
		}
		_, err := fmt.Fprintf(out, "%s %9.1f ms  %-24s %s%s\n", mark,
			float64(l.Time.Sub(story[0].Time).Microseconds())/1000, l.Host, l.Message, fieldText(l.Fields))
		if err != nil {
			return errors.Wrap(err, "print story")
		}
	}
	return nil
}

func fieldText(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, "  %s=%v", name, fields[name])
	}
	return text.String()
}
