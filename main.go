// Command hemlockhollow runs a node of an overload control layer for service call graphs, and has the subcommands of its
// operators.
package main

import (
	"context"
	"net/url"
	"os"
	"os/signal"
	"syscall"

	"hemlockhollow/hemlockcommand"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlocknode"
	"hemlockhollow/platform/hemlockplatform"
	"hemlockhollow/platform/hemlocksidecar"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	command := hemlockcommand.Command{
		Node: hemlocknode.Run,
		Sidecar: func(ctx context.Context, settings hemlockcommand.SidecarSettings) error {
			return hemlocksidecar.Main(ctx, hemlocksidecar.WithAdmission(settings.Admission),
				hemlocksidecar.WithPlacement(settings.Placement))
		},
		Store:       openStore,
		LookupEnv:   os.LookupEnv,
		Output:      os.Stdout,
		ErrorOutput: os.Stderr,
	}
	code := command.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// openStore returns the configuration store of the platform at a base URL.
func openStore(platform string) (hemlockconfiguration.Store, error) {
	parsed, err := url.Parse(platform)
	if err != nil {
		return nil, err
	}
	return hemlocknode.NewPublishingStore(hemlockplatform.New(parsed.Host)), nil
}
