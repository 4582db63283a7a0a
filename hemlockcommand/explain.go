package hemlockcommand

import (
	"os"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockexplain"
)

// explain returns the subcommand that prints the log lines of one request and those of changes on its nodes around that
// time. The lines come from the given log files and are ordered by time.
func (c Command) explain() subcommand {
	return subcommand{
		name:        "explain",
		description: "print what happened to a request, from the log files of all nodes",
		operands:    "REQUEST FILES...",
		run: func(operands []string) error {
			if len(operands) < 2 {
				return usageError("explain", "a request ID and log files are required; allowed are REQUEST FILES...")
			}
			request := operands[0]
			var lines []hemlockexplain.Line
			for _, name := range operands[1:] {
				read, skipped, err := readLog(name)
				if err != nil {
					return hemlockerror.Wrap("explain", KindUsage, err)
				}
				if skipped > 0 {
					printTo(c.ErrorOutput, "%s: skipped %d lines that are not log lines\n", name, skipped)
				}
				lines = append(lines, read...)
			}
			timeline := hemlockexplain.Timeline(lines, request)
			if len(timeline) == 0 {
				return usageError("explain",
					"no line names the request %q; nodes limit the rate of log lines, but their metrics count all calls", request)
			}
			return hemlockexplain.Print(c.Output, timeline, request)
		},
	}
}

func readLog(name string) ([]hemlockexplain.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }()
	return hemlockexplain.Read(file)
}
