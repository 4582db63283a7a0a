// Package hemlockhttp holds what the callers' listener and the target's listener share: reading a request, writing a
// response or a refusal, and the removal of headers that are not end to end.
package hemlockhttp

import (
	"net/http"
	"strings"
)

// ReservedPrefix starts the names of the product's own headers. They are never passed on: a target that copies the
// refusal of a nested call into its own response must not make its caller believe that the target did not run.
const ReservedPrefix = "Hemlock-"

// hopByHop lists the headers of one connection (RFC 9110, section 7.6.1), with the older Proxy-Connection and
// Keep-Alive, and Expect, which this hop answers itself.
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without hop-by-hop headers, headers that Connection names, and reserved
// headers. Its keys are canonical.
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
	for _, name := range hopByHop {
		delete(kept, name)
	}
	return kept
}
