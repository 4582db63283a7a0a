package hemlockcommand

import (
	"io"
	"os"

	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockerror"
)

// maxFile bounds what is read of one service file; the parser refuses smaller files already.
const maxFile = 1 << 20

func (c Command) check() subcommand {
	return subcommand{
		name:        "check",
		description: "check service files without a network",
		operands:    "FILES...",
		run: func(operands []string) error {
			if len(operands) == 0 {
				return usage("check", "no files; allowed are service files")
			}
			files, err := readFiles("check", operands, 0)
			if err != nil {
				return err
			}
			services, problems := hemlockconfiguration.Check(files)
			if len(problems) > 0 {
				return hemlockerror.Wrap("check", KindUsage, problems)
			}
			for i, s := range services {
				write(c.Output, "%s: service %s: %d classes, %d customers\n",
					files[i].Name, s.Name, len(s.Classes()), len(s.Customers()))
			}
			return nil
		},
	}
}

func readFiles(operation string, names []string, base uint64) ([]hemlockconfiguration.Change, error) {
	var files []hemlockconfiguration.Change
	for _, n := range names {
		text, err := readFile(n)
		if err != nil {
			return nil, hemlockerror.Wrap(operation, KindUsage, err)
		}
		files = append(files, hemlockconfiguration.Change{Name: n, Text: text, BaseVersion: base})
	}
	return files, nil
}

func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, maxFile))
}
