package hemlockcommand

import (
	"os"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockexplain"
)

// explain prints what log files say of one request, over all nodes and in order.
func (c Command) explain() subcommand {
	return subcommand{
		name:        "explain",
		description: "print from log files what happened to a request, over all nodes",
		operands:    "REQUEST FILES...",
		run: func(operands []string) error {
			if len(operands) < 2 {
				return usage("explain", "a request and files are needed; allowed are REQUEST FILES...")
			}
			request := operands[0]
			var lines []hemlockexplain.Line
			for _, name := range operands[1:] {
				read, unread, err := readLog(name)
				if err != nil {
					return hemlockerror.Wrap("explain", KindUsage, err)
				}
				if unread > 0 {
					write(c.ErrorOutput, "%s: %d lines are no log lines\n", name, unread)
				}
				lines = append(lines, read...)
			}
			story := hemlockexplain.Timeline(lines, request)
			if len(story) == 0 {
				return usage("explain", "no line names the request %q; its lines may not have been logged, see the metrics", request)
			}
			return hemlockexplain.Print(c.Output, story, request)
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
