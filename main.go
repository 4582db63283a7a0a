// Command hemlockhollow is an overload control layer for service call graphs.
package main

import (
	"context"
	"fmt"
	"os"

	"hemlockhollow/hemlocknode"
)

func main() {
	settings, err := hemlocknode.ParseSettings(os.Args[2:], os.LookupEnv)
	if err == nil {
		err = hemlocknode.Run(context.Background(), settings)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
