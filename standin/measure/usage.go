package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/standin/harness"
)

// clockTick is the unit of processor time in /proc/PID/stat; Linux reports 100 ticks a second to all programs.
const clockTick = 10 * time.Millisecond

// usage is the processor time that a process has used so far and its resident memory in bytes.
type usage struct {
	processor time.Duration
	resident  int64
	at        time.Time
}

func usageOf(p *harness.Process) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return usage{}, err
	}
	// The program name, in brackets, may contain spaces. The fields are therefore counted after the closing bracket.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 22 {
		return usage{}, errors.Errorf("/proc/%d/stat has %d fields", p.PID(), len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		processor: time.Duration(user+system) * clockTick,
		resident:  pages * int64(os.Getpagesize()),
		at:        time.Now(),
	}, nil
}

// corePercent returns the processor time between two readings, in percent of one core.
func corePercent(before, after usage) float64 {
	return 100 * float64(after.processor-before.processor) / float64(after.at.Sub(before.at))
}

// usageOfNodes returns the mean usage of the nodes of a cluster.
func usageOfNodes(c *harness.Cluster) (usage, error) {
	var sum usage
	for _, h := range c.Hosts {
		one, err := usageOf(h.Node)
		if err != nil {
			return usage{}, err
		}
		sum.processor += one.processor
		sum.resident += one.resident
		sum.at = one.at
	}
	sum.processor /= time.Duration(len(c.Hosts))
	sum.resident /= int64(len(c.Hosts))
	return sum, nil
}

const mebibyte = 1 << 20
