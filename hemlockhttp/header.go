// Package hemlockhttp contains what the HTTP servers for callers and for the local target share: reading a request,
// writing a response or a refusal, and removing headers that are not end to end.
package hemlockhttp

import (
	"net/http"
	"strings"
)

// ReservedPrefix starts the names of the project's own headers. They are never forwarded: a target may copy the headers
// of a refused nested call into its own response, and its caller must not conclude that the target did not run.
const ReservedPrefix = "Hemlock-"

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1). The list includes the older Proxy-Connection
// and Keep-Alive, and Expect, to which the node responds itself.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without hop-by-hop headers, headers that Connection names, and reserved
// headers. The keys of the copy are canonical.
func EndToEnd(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		canonical := http.CanonicalHeaderKey(name)
		if !strings.HasPrefix(canonical, ReservedPrefix) {
			kept[canonical] = append(kept[canonical], values...)
		}
	}
	for _, value := range kept["Connection"] {
		for _, name := range strings.Split(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(kept, name)
	}
	return kept
}
