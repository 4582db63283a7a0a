package hemlocknode

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hemlockhollow/hemlockerror"
)

// Settings are the process settings of a node. They are checked once at start and never change.
type Settings struct {
	// CallersAddress is where the HTTP requests of callers arrive.
	CallersAddress string
	// TargetAddress is where the local target announces itself and sends its outgoing calls; loopback only.
	TargetAddress string
	// PeersAddress is where other nodes connect. It also identifies this node in the membership view, so its IP must not be
	// unspecified.
	PeersAddress string
	// OperatorsAddress is where metrics and the state dump are served.
	OperatorsAddress string
	// Zone is the availability zone of this host; never empty.
	Zone string
	// Region is the region of the availability zone; never empty.
	Region string
	// Platform is the base URL of the platform's table and object store; empty means that the node runs without a platform.
	Platform string
	// Seeds are addresses of peers through which the node joins the others at start, in addition to those in the platform's
	// table.
	Seeds []string
	// LogLevel is one of LogLevels.
	LogLevel string
	// DrainGrace is how long a stopping node still accepts requests of callers. Its responses tell them to connect
	// elsewhere.
	DrainGrace time.Duration
	// StopTimeout limits the duration of the graceful shutdown; it is longer than DrainGrace.
	StopTimeout time.Duration
	// BufferMemory limits the bytes of request bodies that are in memory at the same time.
	BufferMemory int64
}

// LogLevels are the accepted values of Settings.LogLevel.
var LogLevels = []string{"error", "info", "debug"}

// DefaultSettings returns the settings that apply where neither a flag nor an environment variable is set.
func DefaultSettings() Settings {
	return Settings{
		CallersAddress:   "127.0.0.1:7000",
		TargetAddress:    "127.0.0.1:7001",
		PeersAddress:     "127.0.0.1:7002",
		OperatorsAddress: "127.0.0.1:7003",
		Region:           "region-1",
		LogLevel:         "info",
		DrainGrace:       2 * time.Second,
		StopTimeout:      60 * time.Second,
		BufferMemory:     64 << 20,
	}
}

// Validate returns an error for the first invalid setting, with its flag, its value and the allowed values.
func (s Settings) Validate() error {
	addresses := []struct{ flag, value string }{
		{"callers-address", s.CallersAddress},
		{"target-address", s.TargetAddress},
		{"peers-address", s.PeersAddress},
		{"operators-address", s.OperatorsAddress},
	}
	seen := map[string]string{}
	for _, a := range addresses {
		parsed, err := netip.ParseAddrPort(a.value)
		if err != nil || parsed.Port() == 0 {
			return settingError(a.flag, a.value, "IP:PORT with a port from 1 to 65535")
		}
		if other, used := seen[a.value]; used {
			return settingError(a.flag, a.value, "an address that --"+other+" does not use")
		}
		seen[a.value] = a.flag
	}
	if netip.MustParseAddrPort(s.PeersAddress).Addr().IsUnspecified() {
		return settingError("peers-address", s.PeersAddress, "an IP that other hosts can reach, not the unspecified address")
	}
	if !netip.MustParseAddrPort(s.TargetAddress).Addr().IsLoopback() {
		return settingError("target-address", s.TargetAddress, "a loopback address, because requests to it are trusted")
	}
	return s.validateOther()
}

func (s Settings) validateOther() error {
	if !isName(s.Zone) {
		return settingError("zone", s.Zone, "the availability zone, 1 to 63 of a-z, 0-9 and -")
	}
	if !isName(s.Region) {
		return settingError("region", s.Region, "the region, 1 to 63 of a-z, 0-9 and -")
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return settingError("seeds", seed, "IP:PORT,IP:PORT,...")
		}
	}
	if s.Platform != "" {
		parsed, err := url.Parse(s.Platform)
		if err != nil || parsed.Scheme != "http" || parsed.Path != "" || !isAddress(parsed.Host) {
			return settingError("platform", s.Platform, "http://IP:PORT")
		}
	}
	if !slices.Contains(LogLevels, s.LogLevel) {
		return settingError("log-level", s.LogLevel, strings.Join(LogLevels, ", "))
	}
	if s.DrainGrace < 0 || s.DrainGrace > time.Minute {
		return settingError("drain-grace", s.DrainGrace.String(), "0s to 1m")
	}
	if s.StopTimeout <= s.DrainGrace {
		return settingError("stop-timeout", s.StopTimeout.String(), "more than --drain-grace ("+s.DrainGrace.String()+")")
	}
	if s.BufferMemory < 1<<20 || s.BufferMemory > 4<<30 {
		return settingError("buffer-memory", strconv.FormatInt(s.BufferMemory, 10), "1 MiB to 4 GiB, in bytes")
	}
	return nil
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func settingError(flag, value, allowed string) error {
	return hemlockerror.Wrap("read settings", KindSetting, errors.Errorf("--%s %q: allowed is %s", flag, value, allowed))
}
