// Package hemlockcommand is the command line of hemlockhollow.
package hemlockcommand

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlocknode"
	"hemlockhollow/hemlockservice"
)

// Command is the command line with what it needs from outside.
type Command struct {
	// Node runs a node until the context ends.
	Node func(ctx context.Context, settings hemlocknode.Settings) error
	// Sidecar runs the process beside a target on the users' platform until the context ends.
	Sidecar func(ctx context.Context) error
	// Store connects to the platform at a base URL, such as http://10.0.0.1:7000. Nil means that this build has none.
	Store func(platform string) (hemlockconfiguration.HeadStore, error)
	// LookupEnv returns the value of an environment variable; os.LookupEnv in the program.
	LookupEnv func(name string) (string, bool)
	// Output and Errors receive results and messages.
	Output, ErrorOutput io.Writer
}

// Run carries out the arguments, without the program's name, and returns the exit code.
func (c Command) Run(ctx context.Context, arguments []string) int {
	err := c.run(ctx, arguments)
	var problems hemlockservice.Problems
	switch {
	case errors.As(err, &problems):
		// One line for each problem, without a prefix, so that editors find the place.
		write(c.ErrorOutput, "%v\nhemlockhollow: %d problems\n", problems, len(problems))
	case err != nil:
		write(c.ErrorOutput, "hemlockhollow: %v\n", err)
	}
	return exitCode(err)
}

func (c Command) run(ctx context.Context, arguments []string) error {
	all := c.subcommands(ctx)
	if len(arguments) == 0 {
		return usage("command line", "no subcommand; allowed are %s", names(all))
	}
	verb, rest := arguments[0], arguments[1:]
	switch verb {
	case "--help", "-h", "help":
		c.help(all)
		return nil
	case "--version":
		verb = "version"
	}
	for _, s := range all {
		if s.name != verb {
			continue
		}
		if wantsHelp(rest) {
			c.helpFor(s)
			return nil
		}
		operands, err := s.parse(rest, c.LookupEnv)
		if err != nil {
			return err
		}
		return s.run(operands)
	}
	return usage("command line", "unknown subcommand %q; allowed are %s", verb, names(all))
}

func (c Command) subcommands(ctx context.Context) []subcommand {
	return []subcommand{
		c.node(ctx),
		c.sidecar(ctx),
		c.check(),
		c.publish(ctx),
		c.state(ctx),
		c.explain(),
		{name: "version", description: "print the version", run: c.version},
	}
}

func names(all []subcommand) string {
	list := []string{}
	for _, s := range all {
		list = append(list, s.name)
	}
	return strings.Join(list, ", ")
}

func wantsHelp(arguments []string) bool {
	for _, a := range arguments {
		switch a {
		case "--":
			return false
		case "--help", "-h":
			return true
		}
	}
	return false
}

func (c Command) help(all []subcommand) {
	write(c.Output, "usage: hemlockhollow SUBCOMMAND [FLAGS] [FILES...]\n")
	for _, s := range all {
		write(c.Output, "  %-8s %s\n", s.name, s.description)
	}
}

func (c Command) helpFor(s subcommand) {
	write(c.Output, "usage: hemlockhollow %s %s\n%s\n", s.name, strings.TrimSpace("[FLAGS] "+s.operands), s.description)
	for _, o := range s.options {
		write(c.Output, "  --%-10s %s (%s; %s)\n", o.name, o.description, o.allowed, o.variable())
	}
}

// write prints to a stream of the user; there is nobody to tell when that fails.
func write(to io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(to, format, arguments...)
}
