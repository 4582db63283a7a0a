// Package hemlockcommand is the command line of the program hemlockhollow: its subcommands, flags and exit codes.
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

// Command is the command line with its dependencies.
type Command struct {
	// Node runs a node until the context ends.
	Node func(ctx context.Context, settings hemlocknode.Settings) error
	// Sidecar runs a node as the sidecar of a target on the users' platform, with the platform's settings file, until
	// the context ends.
	Sidecar func(ctx context.Context, settings SidecarSettings) error
	// Store returns the configuration store of the platform at a base URL, such as http://10.0.0.1:7000. Nil means that
	// this build has no platform client.
	Store func(platform string) (hemlockconfiguration.Store, error)
	// LookupEnv returns the value of an environment variable and whether it is set, as os.LookupEnv does.
	LookupEnv func(name string) (string, bool)
	// Output receives results, ErrorOutput errors and other messages for the user.
	Output, ErrorOutput io.Writer
}

// Run runs the subcommand in the arguments, which do not include the program's name, and returns the exit code.
func (c Command) Run(ctx context.Context, arguments []string) int {
	err := c.run(ctx, arguments)
	var problems hemlockservice.Problems
	switch {
	case errors.As(err, &problems):
		// Each problem is printed on a line without prefix, so that editors can jump to its position.
		printTo(c.ErrorOutput, "%v\nhemlockhollow: %d problems\n", problems, len(problems))
	case err != nil:
		printTo(c.ErrorOutput, "hemlockhollow: %v\n", err)
	}
	return exitCode(err)
}

func (c Command) run(ctx context.Context, arguments []string) error {
	subcommands := c.subcommands(ctx)
	if len(arguments) == 0 {
		return usageError("command line", "no subcommand; allowed are %s", subcommandNames(subcommands))
	}
	name, rest := arguments[0], arguments[1:]
	switch name {
	case "--help", "-h", "help":
		c.printHelp(subcommands)
		return nil
	case "--version":
		name = "version"
	}
	for _, s := range subcommands {
		if s.name != name {
			continue
		}
		if wantsHelp(rest) {
			c.printSubcommandHelp(s)
			return nil
		}
		operands, err := s.parse(rest, c.LookupEnv)
		if err != nil {
			return err
		}
		return s.run(operands)
	}
	return usageError("command line", "unknown subcommand %q; allowed are %s", name, subcommandNames(subcommands))
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

func subcommandNames(subcommands []subcommand) string {
	names := []string{}
	for _, s := range subcommands {
		names = append(names, s.name)
	}
	return strings.Join(names, ", ")
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

func (c Command) printHelp(subcommands []subcommand) {
	printTo(c.Output, "usage: hemlockhollow SUBCOMMAND [FLAGS] [FILES...]\n")
	for _, s := range subcommands {
		printTo(c.Output, "  %-8s %s\n", s.name, s.description)
	}
}

func (c Command) printSubcommandHelp(s subcommand) {
	printTo(c.Output, "usage: hemlockhollow %s %s\n%s\n", s.name, strings.TrimSpace("[FLAGS] "+s.operands), s.description)
	for _, o := range s.options {
		printTo(c.Output, "  --%-10s %s (%s; %s)\n", o.name, o.description, o.allowed, o.environmentVariable())
	}
}

// printTo prints to an output of the command line. It ignores errors, as there is no other output to report them to.
func printTo(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}
