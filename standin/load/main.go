// Command load sends requests of several classes at fixed rates and checks every response, for the demo, tests and
// measurements. It is not part of the product.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	entries, duration, retries, timeout := "127.0.0.1:7000", 10*time.Second, 0, 5*time.Second
	var classes []string
	flaggy.SetName("load")
	flaggy.SetDescription("sends requests of several classes at fixed rates and prints a JSON summary")
	flaggy.String(&entries, "", "entries", "comma-separated IP:PORT of nodes; a request whose connection fails goes to the next")
	flaggy.StringSlice(&classes, "", "class", "NAME:METHOD:PATH:RATE[:BODY-BYTES[:once]], RATE in requests/s; {n} in PATH counts up")
	flaggy.Duration(&duration, "", "duration", "how long requests are sent")
	flaggy.Int(&retries, "", "repeats", "how often a caller retries a failed request")
	flaggy.Duration(&timeout, "", "timeout", "how long a caller waits for a response")
	flaggy.Parse()
	parsed, err := parseClasses(classes)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(2)
	}
	callers := newCallers(strings.Split(entries, ","), retries, timeout)
	results := callers.run(context.Background(), parsed, duration)
	if err := json.NewEncoder(os.Stdout).Encode(results); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}
