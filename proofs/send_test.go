package proofs

import (
	"io"
	"net/http"
	"strings"
)

// send makes one call and returns its status.
func send(address, method, path string, headers []string) (int, error) {
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: limit}).Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
