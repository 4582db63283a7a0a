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
			{name: "base", description: "version that the files start from; default is the published one",
				allowed: "a version from 1 up", set: setVersion(&base)},
			{name: "remove", description: "services to remove", allowed: "service names, separated by commas",
				set: setText(&remove)},
		},
		run: func(operands []string) error {
			if platform == "" {
				return usage("publish", "flag --platform is missing; allowed is http://IP:PORT")
			}
			files, err := readFiles("publish", operands, base)
			if err != nil {
				return err
			}
			for _, name := range strings.FieldsFunc(remove, func(r rune) bool { return r == ',' }) {
				files = append(files, hemlockconfiguration.Removal(name, base))
			}
			if len(files) == 0 {
				return usage("publish", "no files; allowed are service files or --remove")
			}
			return c.publishTo(ctx, platform, files)
		},
	}
}

func (c Command) publishTo(ctx context.Context, platform string, files []hemlockconfiguration.Change) error {
	if c.Store == nil {
		return usage("publish", "this build has no platform client")
	}
	store, err := c.Store(platform)
	if err != nil {
		return hemlockerror.Wrap("publish", KindUnreachable, err)
	}
	result, err := hemlockconfiguration.NewPublisher(store).Publish(ctx, files)
	if hemlockerror.KindOf[hemlockconfiguration.Kind](err) == hemlockconfiguration.KindOutcomeUnknown {
		// With a base, a repeated publish is refused instead of undoing what others have published since.
		write(c.ErrorOutput, "The publish may take effect. To settle it, publish the same files again with --base %d.\n", max(result.StartVersion, 1))
	}
	if err != nil {
		return err
	}
	switch {
	case result.Unchanged:
		write(c.Output, "version %d holds these files already\n", result.Version)
	case result.MergedVersions > 0:
		write(c.Output, "published version %d, merged with %d others\n", result.Version, result.MergedVersions)
	default:
		write(c.Output, "published version %d\n", result.Version)
	}
	return nil
}

// setURL accepts http://IP:PORT: processes talk by address, without name resolution.
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

func setText(into *string) func(string) bool {
	return func(value string) bool {
		*into = value
		return strings.Trim(value, ", ") != ""
	}
}
