package hemlockhttp

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"hemlockhollow/hemlockcall"
)

// MaxBufferedResponse is the size in bytes of the largest body that is buffered until it is complete; a larger one is
// streamed.
const MaxBufferedResponse = 1 << 20

// copyBufferSize is the size in bytes of the buffer for streaming a body.
const copyBufferSize = 32 << 10

// WriteResponse writes a response and closes its body. When the body cannot be read or written completely, or does not
// have the declared length, it panics with http.ErrAbortHandler, which closes the HTTP/1.1 connection or resets the
// HTTP/2 stream, so that the client cannot mistake a truncated body for a complete one.
func WriteResponse(w http.ResponseWriter, r *http.Request, response *hemlockcall.Response) {
	body := io.Reader(response.Body)
	defer func() { _ = response.Body.Close() }()
	length := response.Length
	if length < 0 && !r.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 client takes the end of the connection for the end of a body without a length, so it could not
		// detect a truncated body. The whole body is read first, so that its length is known.
		complete, err := readLimited(body)
		if err != nil {
			WriteRefusal(w, hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, err.Error()))
			return
		}
		body, length = bytes.NewReader(complete), int64(len(complete))
	}
	writeHeader(w, r, response, length)
	written, err := copyBody(w, body, length < 0 || length > MaxBufferedResponse)
	if err != nil || (length >= 0 && written != length) {
		panic(http.ErrAbortHandler)
	}
}

func writeHeader(w http.ResponseWriter, r *http.Request, response *hemlockcall.Response, length int64) {
	header := w.Header()
	for name, values := range EndToEnd(response.Header) {
		header[name] = values
	}
	// The response to a HEAD request has no body; it keeps the Content-Length that the target set.
	if r.Method != http.MethodHead {
		header.Del("Content-Length")
		if length >= 0 && statusAllowsBody(response.Status) {
			header.Set("Content-Length", strconv.FormatInt(length, 10))
		}
	}
	w.WriteHeader(response.Status)
}

func statusAllowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody returns the number of bytes written. With flush, each part is sent as soon as it has been read.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) (int64, error) {
	if !flush {
		return io.Copy(w, body)
	}
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	var total int64
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			written, writeErr := w.Write(buffer[:count])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return total, flushErr
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

// readLimited reads a whole body of up to MaxBufferedResponse bytes, and fails if it is longer.
func readLimited(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, MaxBufferedResponse+1))
	if err == nil && len(data) > MaxBufferedResponse {
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTooLarge,
			"response of unknown length is too large for an HTTP/1.0 client")
	}
	return data, err
}
