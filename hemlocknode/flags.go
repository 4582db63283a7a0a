package hemlocknode

import (
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// environmentPrefix starts the environment variable of each flag.
const environmentPrefix = "HEMLOCK_"

// flag is one setting as text, from the command line or the environment.
type flag struct {
	name string
	help string
	// take puts the text into the settings and reports whether it could be read.
	take func(s *Settings, text string) bool
	// allowed says what text take accepts, for the error message.
	allowed string
}

func textFlag(name, help string, field func(*Settings) *string) flag {
	return flag{name: name, help: help, take: func(s *Settings, text string) bool {
		*field(s) = text
		return true
	}}
}

func durationFlag(name, help string, field func(*Settings) *time.Duration) flag {
	return flag{name: name, help: help, allowed: "a duration such as 2s", take: func(s *Settings, text string) bool {
		value, err := time.ParseDuration(text)
		*field(s) = value
		return err == nil
	}}
}

var flags = []flag{
	textFlag("callers-address", "IP:PORT for callers", func(s *Settings) *string { return &s.CallersAddress }),
	textFlag("target-address", "loopback IP:PORT for the local target", func(s *Settings) *string { return &s.TargetAddress }),
	textFlag("peers-address", "IP:PORT for other nodes", func(s *Settings) *string { return &s.PeersAddress }),
	textFlag("operators-address", "IP:PORT for operators", func(s *Settings) *string { return &s.OperatorsAddress }),
	textFlag("zone", "availability zone of this host", func(s *Settings) *string { return &s.Zone }),
	textFlag("region", "region of the availability zone", func(s *Settings) *string { return &s.Region }),
	textFlag("platform", "URL of the platform, http://IP:PORT", func(s *Settings) *string { return &s.Platform }),
	{name: "seeds", help: "peers to join, IP:PORT,IP:PORT", take: func(s *Settings, text string) bool {
		s.Seeds = strings.Split(text, ",")
		return true
	}},
	textFlag("log-level", "error, info or debug", func(s *Settings) *string { return &s.LogLevel }),
	durationFlag("drain-grace", "how long a stopping node accepts callers", func(s *Settings) *time.Duration { return &s.DrainGrace }),
	durationFlag("stop-timeout", "bound of the graceful shutdown", func(s *Settings) *time.Duration { return &s.StopTimeout }),
	{name: "buffer-memory", help: "bytes for request bodies", allowed: "a number of bytes", take: func(s *Settings, text string) bool {
		value, err := strconv.ParseInt(text, 10, 64)
		s.BufferMemory = value
		return err == nil
	}},
}

// ParseSettings reads the settings of a node from its arguments and, for flags that are not given, from the
// environment. An unknown flag ends the process with exit code 2, as flaggy does it.
func ParseSettings(arguments []string, lookup func(string) (string, bool)) (Settings, error) {
	parser := flaggy.NewParser("hemlockhollow node")
	parser.Description = "Runs the process beside a target. Each flag can be set by an environment variable " +
		environmentPrefix + "NAME instead."
	parser.DisableShowVersionWithVersion()
	values := make([]string, len(flags))
	for i, f := range flags {
		parser.String(&values[i], "", f.name, f.help+" ("+EnvironmentName(f.name)+")")
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return Settings{}, settingError("node", strings.Join(arguments, " "), err.Error())
	}
	settings := DefaultSettings()
	for i, f := range flags {
		text := values[i]
		if text == "" {
			text, _ = lookup(EnvironmentName(f.name))
		}
		if text != "" && !f.take(&settings, text) {
			return Settings{}, settingError(f.name, text, f.allowed)
		}
	}
	return settings, settings.Validate()
}

// EnvironmentName returns the environment variable of a flag.
func EnvironmentName(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
