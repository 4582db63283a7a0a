package hemlockhttp

import (
	"net/http"
	"strings"

	"hemlockhollow/hemlockcall"
)

// ReadRequest returns the call that an HTTP request on /SERVICE/REST asks for. The context, the Once mark and the
// fingerprint are left to the caller of this function. The error is always a *hemlockcall.Refusal.
func ReadRequest(r *http.Request) (*hemlockcall.Request, error) {
	service, path, ok := SplitPath(r.URL.EscapedPath())
	if !ok {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonNotFound, "the path names no service")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	request := &hemlockcall.Request{
		Service: service,
		Method:  r.Method,
		Path:    path,
		Header:  EndToEnd(r.Header),
		Length:  r.ContentLength,
	}
	if r.Body != nil && r.Body != http.NoBody {
		request.Body = r.Body
	}
	return request, nil
}

// SplitPath splits an escaped path /SERVICE/REST into SERVICE and /REST; /SERVICE alone gives the rest "/".
func SplitPath(path string) (service, rest string, ok bool) {
	trimmed, rooted := strings.CutPrefix(path, "/")
	if !rooted {
		return "", "", false
	}
	service, rest, _ = strings.Cut(trimmed, "/")
	return service, "/" + rest, service != ""
}
