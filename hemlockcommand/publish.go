package hemlockcommand

import (
	"context"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockerror"
)

func (c Command) publish(ctx context.Context) subcommand {
	var platform, remove string
	var base uint64
	return subcommand{
		name:        "publish",
		description: "publish service files as the next version of the configuration",
		operands:    "FILES...",
		options: []option{
			{name: "platform", description: "platform to publish to", allowed: "http://IP:PORT", set: setURL(&platform)},
			{name: "base", description: "version that the files are based on; default is the published one",
				allowed: "a version from 1 up", set: setVersion(&base)},
			{name: "remove", description: "services to remove", allowed: "service names, separated by commas",
				set: setServiceNames(&remove)},
		},
		run: func(operands []string) error {
			if platform == "" {
				return usageError("publish", "flag --platform is missing; allowed is http://IP:PORT")
			}
			changes, err := readChanges("publish", operands, base)
			if err != nil {
				return err
			}
			for _, name := range strings.FieldsFunc(remove, func(r rune) bool { return r == ',' }) {
				changes = append(changes, hemlockconfiguration.Removal(name, base))
			}
			if len(changes) == 0 {
				return usageError("publish", "no files given; service files or --remove are required")
			}
			return c.publishTo(ctx, platform, changes)
		},
	}
}

func (c Command) publishTo(ctx context.Context, platform string, changes []hemlockconfiguration.Change) error {
	if c.Store == nil {
		return usageError("publish", "this build has no platform client")
	}
	store, err := c.Store(platform)
	if err != nil {
		return hemlockerror.Wrap("publish", KindUnreachable, err)
	}
	result, err := hemlockconfiguration.NewPublisher(store).Publish(ctx, changes)
	if hemlockerror.KindOf[hemlockconfiguration.Kind](err) == hemlockconfiguration.KindOutcomeUnknown {
		// With the base version, publishing the files again is refused as a conflict if others have changed the services
		// since, instead of undoing their changes.
		printTo(c.ErrorOutput, "The outcome of the publish is unknown. To determine it, publish the same files again with --base %d.\n",
			max(result.StartVersion, 1))
	}
	if err != nil {
		return err
	}
	switch {
	case result.Unchanged:
		printTo(c.Output, "version %d holds these files already\n", result.Version)
	case result.MergedVersions > 0:
		printTo(c.Output, "published version %d, merged with %d others\n", result.Version, result.MergedVersions)
	default:
		printTo(c.Output, "published version %d\n", result.Version)
	}
	return nil
}

// setURL accepts only http://IP:PORT, as processes connect to addresses and do not resolve host names.
func setURL(into *string) func(string) bool {
	return func(value string) bool {
		parsed, err := url.Parse(value)
		if err != nil || parsed.Scheme != "http" || parsed.Host == "" || parsed.User != nil {
			return false
		}
		address, err := netip.ParseAddrPort(parsed.Host)
		if err != nil || address.Port() == 0 || strings.TrimSuffix(value, "/") != "http://"+parsed.Host {
			return false
		}
		*into = "http://" + parsed.Host
		return true
	}
}

func setAddress(into *string) func(string) bool {
	return func(value string) bool {
		address, err := netip.ParseAddrPort(value)
		if err != nil || address.Port() == 0 {
			return false
		}
		*into = address.String()
		return true
	}
}

func setVersion(into *uint64) func(string) bool {
	return func(value string) bool {
		number, err := strconv.ParseUint(value, 10, 64)
		*into = number
		return err == nil && number > 0
	}
}

func setServiceNames(into *string) func(string) bool {
	return func(value string) bool {
		*into = value
		return strings.Trim(value, ", ") != ""
	}
}
