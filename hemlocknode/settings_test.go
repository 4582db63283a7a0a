package hemlocknode

import (
	"strings"
	"testing"
)

func validSettings() Settings {
	settings := DefaultSettings()
	settings.Zone = "zone-a"
	return settings
}

// Guards against a node that starts with invalid settings.
func TestSettingsAreValidated(t *testing.T) {
	if err := validSettings().Validate(); err != nil {
		t.Fatalf("valid settings were refused: %v", err)
	}
	cases := map[string]func(*Settings){
		"--zone":              func(s *Settings) { s.Zone = "" },
		"--callers-address":   func(s *Settings) { s.CallersAddress = "localhost:7000" },
		"--operators-address": func(s *Settings) { s.OperatorsAddress = s.CallersAddress },
		"--peers-address":     func(s *Settings) { s.PeersAddress = "0.0.0.0:7002" },
		"--target-address":    func(s *Settings) { s.TargetAddress = "10.0.0.1:7001" },
		"--platform":          func(s *Settings) { s.Platform = "tables" },
		"--seeds":             func(s *Settings) { s.Seeds = []string{"peer"} },
		"--log-level":         func(s *Settings) { s.LogLevel = "loud" },
		"--stop-timeout":      func(s *Settings) { s.StopTimeout = s.DrainGrace },
		"--buffer-memory":     func(s *Settings) { s.BufferMemory = 1 },
	}
	for flag, invalidate := range cases {
		t.Run(flag, func(t *testing.T) {
			settings := validSettings()
			invalidate(&settings)
			err := settings.Validate()
			if err == nil || !strings.Contains(err.Error(), flag+" ") || !strings.Contains(err.Error(), "allowed is") {
				t.Fatalf("got %v, want an error that names %s and what is allowed", err, flag)
			}
		})
	}
}
