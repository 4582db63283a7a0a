package hemlockhttp

import (
	"net/http"
	"strings"

	"hemlockhollow/hemlockcall"
)

// ReadRequest converts an HTTP request with the path /SERVICE/REST. It leaves Context, AtMostOnce and Fingerprint unset.
// The error is always a *hemlockcall.Refusal.
func ReadRequest(r *http.Request) (*hemlockcall.Request, error) {
	service, path, ok := SplitPath(r.URL.EscapedPath())
	if !ok {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonNotFound, "the path contains no service name")
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

// SplitPath splits an escaped path /SERVICE/REST into SERVICE and /REST. For /SERVICE alone, the rest is "/". The result
// ok is false if the path contains no service name.
func SplitPath(path string) (service, rest string, ok bool) {
	trimmed, hasSlash := strings.CutPrefix(path, "/")
	if !hasSlash {
		return "", "", false
	}
	service, rest, _ = strings.Cut(trimmed, "/")
	return service, "/" + rest, service != ""
}
