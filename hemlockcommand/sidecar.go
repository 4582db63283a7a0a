package hemlockcommand

import (
	"context"
)

// sidecar runs the process beside a target on the users' platform.
func (c Command) sidecar(ctx context.Context) subcommand {
	return subcommand{
		name:        "sidecar",
		description: "run beside a target on the users' platform, by its settings file",
		run:         func([]string) error { return c.Sidecar(ctx) },
	}
}
