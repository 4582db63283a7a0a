package hemlockcommand

import (
	"context"
)

// sidecar returns the subcommand that runs a node as the sidecar of a target on the users' platform.
func (c Command) sidecar(ctx context.Context) subcommand {
	return subcommand{
		name:        "sidecar",
		description: "run the node as a sidecar on the users' platform, with its settings file",
		run:         func([]string) error { return c.Sidecar(ctx) },
	}
}
