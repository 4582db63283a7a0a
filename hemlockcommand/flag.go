package hemlockcommand

import (
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// option is one flag of a subcommand. Its value can also come from the environment variable HEMLOCK_ + the name in
// upper case; the flag goes first.
type option struct {
	name        string
	description string
	// allowed describes the allowed values, for messages.
	allowed string
	// set stores the value and returns false if it is not allowed.
	set func(value string) bool
}

// subcommand is one verb of the command line.
type subcommand struct {
	name        string
	description string
	options     []option
	// operands describes the arguments that are no flags; empty means that there are none.
	operands string
	run      func(operands []string) error
}

func (o option) variable() string {
	return "HEMLOCK_" + strings.ToUpper(strings.ReplaceAll(o.name, "-", "_"))
}

// screen refuses what flaggy would drop silently, or would answer with its help text and an exit of its own: unknown
// flags, flags without a value and flags given twice.
func (s subcommand) screen(arguments []string) error {
	seen := map[string]bool{}
	for i := 0; i < len(arguments) && arguments[i] != "--"; i++ {
		a := arguments[i]
		if a == "" {
			return usage(s.name, "argument %d is empty; allowed are flags and file names", i+1)
		}
		if !strings.HasPrefix(a, "-") {
			continue
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(a, "-"), "=")
		if !strings.HasPrefix(a, "--") || !slices.ContainsFunc(s.options, func(o option) bool { return o.name == name }) {
			return usage(s.name, "unknown flag %s; allowed are %s", a, s.allowedFlags())
		}
		if seen[name] {
			return usage(s.name, "flag --%s is given twice; allowed is once", name)
		}
		seen[name] = true
		if hasValue {
			continue
		}
		if i++; i == len(arguments) || strings.HasPrefix(arguments[i], "-") {
			return usage(s.name, "flag --%s has no value; allowed is %s", name, s.option(name).allowed)
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

// parse sets the options from the environment and the arguments, and returns the operands.
func (s subcommand) parse(arguments []string, environment func(string) (string, bool)) ([]string, error) {
	if err := s.screen(arguments); err != nil {
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
		return nil, usage(s.name, "%v", err)
	}
	for i, o := range s.options {
		if err := s.assign(o, values[i], given(arguments, o.name), environment); err != nil {
			return nil, err
		}
	}
	if s.operands == "" && len(p.TrailingArguments) > 0 {
		return nil, usage(s.name, "unexpected argument %q; allowed are flags only", p.TrailingArguments[0])
	}
	return p.TrailingArguments, nil
}

// given reports whether the flag is among the arguments, so that an empty value is refused instead of ignored.
func given(arguments []string, name string) bool {
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

func (s subcommand) assign(o option, value string, isFlag bool, environment func(string) (string, bool)) error {
	source := "flag --" + o.name
	if !isFlag {
		var found bool
		if value, found = environment(o.variable()); !found || value == "" {
			return nil
		}
		source = "environment variable " + o.variable() + " (flag --" + o.name + ")"
	}
	if !o.set(value) {
		return usage(s.name, "%s has the value %q; allowed is %s", source, value, o.allowed)
	}
	return nil
}
