package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// send sends one request and returns the status of the response.
func send(address, method, path string, headers []string) (int, error) {
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: timeout}).Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// sendPartialUpload sends the beginning of an upload and waits for the response, which has to be a refusal.
func sendPartialUpload(address, path string, length, sent int) error {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(connection, "PUT %s HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n%s",
		path, length, make([]byte, sent))
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Hemlock-Verdict") == "" {
		return fmt.Errorf("status %d without a verdict", response.StatusCode)
	}
	return nil
}
