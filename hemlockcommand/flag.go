package hemlockcommand

import (
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// option is one flag of a subcommand. Its value can also come from an environment variable: HEMLOCK_ and the name of
// the flag in upper case, with underscores for hyphens. The flag has precedence.
type option struct {
	name        string
	description string
	// allowed describes the allowed values, for messages.
	allowed string
	// set stores the value. It returns false if the value is not allowed.
	set func(value string) bool
}

// subcommand is one subcommand of the command line.
type subcommand struct {
	name        string
	description string
	options     []option
	// operands describes the arguments that are not flags; empty means that none are allowed.
	operands string
	run      func(operands []string) error
}

func (o option) environmentVariable() string {
	return "HEMLOCK_" + strings.ToUpper(strings.ReplaceAll(o.name, "-", "_"))
}

// checkFlags returns an error for empty arguments, unknown flags, flags without a value and flags that are given twice.
// The library flaggy would silently ignore them, or print its own help text and exit.
func (s subcommand) checkFlags(arguments []string) error {
	seen := map[string]bool{}
	for i := 0; i < len(arguments) && arguments[i] != "--"; i++ {
		argument := arguments[i]
		if argument == "" {
			return usageError(s.name, "argument %d is empty; allowed are flags and file names", i+1)
		}
		if !strings.HasPrefix(argument, "-") {
			continue
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(argument, "-"), "=")
		if !strings.HasPrefix(argument, "--") || !slices.ContainsFunc(s.options, func(o option) bool { return o.name == name }) {
			return usageError(s.name, "unknown flag %s; allowed are %s", argument, s.allowedFlags())
		}
		if seen[name] {
			return usageError(s.name, "flag --%s is given twice; it may be given once", name)
		}
		seen[name] = true
		if hasValue {
			continue
		}
		if i++; i == len(arguments) || strings.HasPrefix(arguments[i], "-") {
			return usageError(s.name, "flag --%s has no value; allowed is %s", name, s.option(name).allowed)
		}
	}
	return nil
}

func (s subcommand) option(name string) option {
	i := slices.IndexFunc(s.options, func(o option) bool { return o.name == name })
	return s.options[i]
}

func (s subcommand) allowedFlags() string {
	names := []string{}
	for _, o := range s.options {
		names = append(names, "--"+o.name)
	}
	return strings.Join(append(names, "--help"), ", ")
}

// parse sets the options from the arguments and the environment, and returns the operands. Its errors have KindUsage.
func (s subcommand) parse(arguments []string, lookupEnv func(string) (string, bool)) ([]string, error) {
	if err := s.checkFlags(arguments); err != nil {
		return nil, err
	}
	p := flaggy.NewParser(s.name)
	p.ShowHelpOnUnexpected, p.ShowHelpWithHFlag = false, false
	p.ShowVersionWithVersionFlag, p.ShowCompletion = false, false
	values := make([]string, len(s.options))
	for i, o := range s.options {
		p.String(&values[i], "", o.name, o.description)
	}
	if err := p.ParseArgs(arguments); err != nil {
		return nil, usageError(s.name, "%v", err)
	}
	for i, o := range s.options {
		if err := s.setOption(o, values[i], isGiven(arguments, o.name), lookupEnv); err != nil {
			return nil, err
		}
	}
	if s.operands == "" && len(p.TrailingArguments) > 0 {
		return nil, usageError(s.name, "unexpected argument %q; only flags are allowed", p.TrailingArguments[0])
	}
	return p.TrailingArguments, nil
}

// isGiven reports whether the flag is among the arguments. It distinguishes a flag with an empty value, which is refused,
// from a flag that is not given.
func isGiven(arguments []string, name string) bool {
	for _, a := range arguments {
		if a == "--" {
			return false
		}
		if a == "--"+name || strings.HasPrefix(a, "--"+name+"=") {
			return true
		}
	}
	return false
}

// setOption sets the option to the value of its flag, if the flag is given, or of its environment variable. If neither
// has a value, the option keeps its default.
func (s subcommand) setOption(o option, value string, flagGiven bool, lookupEnv func(string) (string, bool)) error {
	source := "flag --" + o.name
	if !flagGiven {
		var found bool
		if value, found = lookupEnv(o.environmentVariable()); !found || value == "" {
			return nil
		}
		source = "environment variable " + o.environmentVariable() + " (flag --" + o.name + ")"
	}
	if !o.set(value) {
		return usageError(s.name, "%s has the value %q; allowed is %s", source, value, o.allowed)
	}
	return nil
}
