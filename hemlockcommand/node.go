package hemlockcommand

import (
	"context"

	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlocknode"
)

func (c Command) node(ctx context.Context) subcommand {
	settings := hemlocknode.DefaultSettings()
	options := make([]option, 0, len(hemlocknode.Flags))
	for _, f := range hemlocknode.Flags {
		options = append(options, option{
			name:        f.Name,
			description: f.Help,
			allowed:     f.Allowed,
			set:         func(value string) bool { return f.Set(&settings, value) },
		})
	}
	return subcommand{
		name:        "node",
		description: "run the node beside a target",
		options:     options,
		run: func([]string) error {
			err := c.Node(ctx, settings)
			if hemlockerror.KindOf[hemlocknode.Kind](err) == hemlocknode.KindSetting {
				return hemlockerror.Wrap("node", KindUsage, err)
			}
			return err
		},
	}
}
