package hemlockhttp

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"hemlockhollow/hemlockcall"
)

// MaxBufferedResponse is the largest body that is withheld until it is whole; a larger one is streamed.
const MaxBufferedResponse = 1 << 20

const copySize = 32 << 10

// WriteResponse writes a response and closes its body. When the body breaks off, it panics with http.ErrAbortHandler,
// which cuts the HTTP/1.1 connection or resets the HTTP/2 stream, so that the client cannot take the part for whole.
func WriteResponse(w http.ResponseWriter, r *http.Request, response *hemlockcall.Response) {
	body := io.Reader(response.Body)
	defer func() { _ = response.Body.Close() }()
	length := response.Length
	if length < 0 && !r.ProtoAtLeast(1, 1) {
		// Towards HTTP/1.0 a body without a length ends with the connection, so a break would look like the end.
		whole, err := readBounded(body)
		if err != nil {
			WriteRefusal(w, hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, err.Error()))
			return
		}
		body, length = bytes.NewReader(whole), int64(len(whole))
	}
	writeHead(w, r, response, length)
	written, err := copyBody(w, body, length < 0 || length > MaxBufferedResponse)
	if err != nil || (length >= 0 && written != length) {
		panic(http.ErrAbortHandler)
	}
}

func writeHead(w http.ResponseWriter, r *http.Request, response *hemlockcall.Response, length int64) {
	header := w.Header()
	for name, values := range EndToEnd(response.Header) {
		header[name] = values
	}
	// The response to a HEAD request keeps the length that the target declared for the absent body.
	if r.Method != http.MethodHead {
		header.Del("Content-Length")
		if length >= 0 && bodyAllowed(response.Status) {
			header.Set("Content-Length", strconv.FormatInt(length, 10))
		}
	}
	w.WriteHeader(response.Status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func copyBody(w http.ResponseWriter, body io.Reader, flush bool) (int64, error) {
	if !flush {
		return io.Copy(w, body)
	}
	control := http.NewResponseController(w)
	buffer := make([]byte, copySize)
	var total int64
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			written, failure := w.Write(buffer[:count])
			total += int64(written)
			if failure != nil {
				return total, failure
			}
			if failure := control.Flush(); failure != nil {
				return total, failure
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

func readBounded(body io.Reader) ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(body, MaxBufferedResponse+1))
	if err == nil && len(whole) > MaxBufferedResponse {
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTooLarge, "response of unknown length towards HTTP/1.0")
	}
	return whole, err
}
