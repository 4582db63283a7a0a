package hemlockcommand

import (
	"io"
	"os"

	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockerror"
)

// maxFileBytes limits what is read of a service file. It is above the limit of hemlockservice.Parse, which reports
// files that are too large.
const maxFileBytes = 1 << 20

func (c Command) check() subcommand {
	return subcommand{
		name:        "check",
		description: "check service files without a network",
		operands:    "FILES...",
		run: func(operands []string) error {
			if len(operands) == 0 {
				return usageError("check", "no files given; service files are required")
			}
			changes, err := readChanges("check", operands, 0)
			if err != nil {
				return err
			}
			services, problems := hemlockconfiguration.Check(changes)
			if len(problems) > 0 {
				return hemlockerror.Wrap("check", KindUsage, problems)
			}
			for i, s := range services {
				printTo(c.Output, "%s: service %s: %d classes, %d customers\n",
					changes[i].Source, s.Name, len(s.Classes()), len(s.Customers()))
			}
			return nil
		},
	}
}

// readChanges reads service files as changes with the given base version; 0 means the published version. The operation
// names the subcommand in errors.
func readChanges(operation string, names []string, base uint64) ([]hemlockconfiguration.Change, error) {
	var changes []hemlockconfiguration.Change
	for _, n := range names {
		text, err := readFile(n)
		if err != nil {
			return nil, hemlockerror.Wrap(operation, KindUsage, err)
		}
		changes = append(changes, hemlockconfiguration.Change{Source: n, Text: text, BaseVersion: base})
	}
	return changes, nil
}

func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, maxFileBytes))
}
