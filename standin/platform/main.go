// Command platform is a stand-in for the platform's table and object store. On the same listener, it serves fault
// injection at /admin/faults and operation counts at /admin/counts.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hemlockhollow/standin/platform/store"
)

func main() {
	listen, latency := "127.0.0.1:7070", 2*time.Millisecond
	flaggy.SetName("platform")
	flaggy.SetDescription("stand-in for the platform's table and object store")
	flaggy.String(&listen, "", "listen", "address to listen on")
	flaggy.Duration(&latency, "", "latency", "time added to every call")
	flaggy.Parse()
	server := &http.Server{
		Addr:              listen,
		Handler:           store.NewHandler(store.New(), latency),
		ReadHeaderTimeout: 5 * time.Second,
	}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}
