package hemlocknode

import (
	"strconv"
	"strings"
	"time"
)

// Flag is a setting that can be set with a command-line flag or an environment variable.
type Flag struct {
	// Name is the name of the flag without dashes.
	Name string
	// Help is one line for the help text.
	Help string
	// Allowed describes the values that Set accepts, for error messages.
	Allowed string
	// Set parses the text into the settings. It returns false if the text cannot be parsed; Settings.Validate checks the
	// value.
	Set func(s *Settings, text string) bool
}

func textFlag(name, help string, field func(*Settings) *string) Flag {
	return Flag{Name: name, Help: help, Allowed: "text", Set: func(s *Settings, text string) bool {
		*field(s) = text
		return true
	}}
}

func durationFlag(name, help string, field func(*Settings) *time.Duration) Flag {
	return Flag{Name: name, Help: help, Allowed: "a duration such as 2s", Set: func(s *Settings, text string) bool {
		value, err := time.ParseDuration(text)
		*field(s) = value
		return err == nil
	}}
}

// Flags are the command-line flags of a node.
var Flags = []Flag{
	textFlag("callers-address", "IP:PORT for callers", func(s *Settings) *string { return &s.CallersAddress }),
	textFlag("target-address", "loopback IP:PORT for the local target", func(s *Settings) *string { return &s.TargetAddress }),
	textFlag("peers-address", "IP:PORT for other nodes", func(s *Settings) *string { return &s.PeersAddress }),
	textFlag("operators-address", "IP:PORT for operators", func(s *Settings) *string { return &s.OperatorsAddress }),
	textFlag("zone", "availability zone of this host", func(s *Settings) *string { return &s.Zone }),
	textFlag("region", "region of the availability zone", func(s *Settings) *string { return &s.Region }),
	textFlag("platform", "URL of the platform, http://IP:PORT", func(s *Settings) *string { return &s.Platform }),
	{Name: "seeds", Help: "addresses of peers to join", Allowed: "IP:PORT,IP:PORT,...", Set: func(s *Settings, text string) bool {
		s.Seeds = strings.Split(text, ",")
		return true
	}},
	textFlag("log-level", "error, info or debug", func(s *Settings) *string { return &s.LogLevel }),
	durationFlag("drain-grace", "how long a stopping node still accepts requests of callers", func(s *Settings) *time.Duration { return &s.DrainGrace }),
	durationFlag("stop-timeout", "timeout of the graceful shutdown", func(s *Settings) *time.Duration { return &s.StopTimeout }),
	{Name: "buffer-memory", Help: "maximum bytes of request bodies in memory", Allowed: "a number of bytes", Set: func(s *Settings, text string) bool {
		value, err := strconv.ParseInt(text, 10, 64)
		s.BufferMemory = value
		return err == nil
	}},
}
