// Command hemlockhollow is an overload control layer for service call graphs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hemlockhollow/hemlockcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	command := hemlockcommand.Command{Environment: os.LookupEnv, Output: os.Stdout, Errors: os.Stderr}
	code := command.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
