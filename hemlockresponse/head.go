package hemlockresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// noLength is the length of a response that states none.
const noLength = -1

// head is what the framing of a response follows from.
type head struct {
	status int
	// isHTTP10 is set for HTTP/1.0, which has no transfer codings.
	isHTTP10 bool
	// length is the value of Content-Length, or noLength.
	length int64
	// chunked is set if the response is sent in chunks.
	chunked bool
}

// parseStatusLine parses a status line without its end (RFC 9112, section 4). The blank behind the status may be missing, as many servers
// leave it out if there is no reason.
func parseStatusLine(line []byte) (head, error) {
	const prefix, statusEnd = "HTTP/1.", len("HTTP/1.1 200")
	if len(line) < statusEnd || !bytes.HasPrefix(line, []byte(prefix)) || !isDigit(line[len(prefix)]) || line[len(prefix)+1] != ' ' {
		return head{}, headError("malformed status line")
	}
	status := 0
	for _, digit := range line[len(prefix)+2 : statusEnd] {
		if !isDigit(digit) {
			return head{}, headError("malformed status")
		}
		status = status*10 + int(digit-'0')
	}
	if status < minStatus || status > maxStatus {
		return head{}, headError("status out of range")
	}
	if status == http.StatusSwitchingProtocols {
		return head{}, headError("a change of protocol that was not requested")
	}
	if reason := line[statusEnd:]; len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return head{}, headError("malformed reason")
	}
	return head{status: status, isHTTP10: line[len(prefix)] == '0', length: noLength}, nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// addField parses a header line without its end. A folded line has no valid name and is refused (RFC 9112, section 5.2).
func (h *head) addField(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case isNamed(name, "Content-Length"):
		return h.setLength(value)
	case isNamed(name, "Transfer-Encoding"):
		return h.setTransferCoding(value)
	}
	return nil
}

func isNamed(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// setLength accepts the same length more than once, as a recipient may (RFC 9112, section 6.3).
func (h *head) setLength(value []byte) error {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil {
		return headError("invalid Content-Length")
	}
	if h.length != noLength && h.length != int64(length) {
		return headError("different values of Content-Length")
	}
	h.length = int64(length)
	return nil
}

// setTransferCoding accepts chunks only, as clients here request no other transfer coding.
func (h *head) setTransferCoding(value []byte) error {
	if h.chunked || !strings.EqualFold(string(value), "chunked") {
		return headError("a transfer coding that was not requested")
	}
	h.chunked = true
	return nil
}

// isInterim reports whether another head follows.
func (h *head) isInterim() bool { return h.status < http.StatusOK }

// hasNoBody reports whether a response to a request with the method ends with its head, whatever its fields say.
func (h *head) hasNoBody(method string) bool {
	return h.isInterim() || method == http.MethodHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

// checkFraming checks the fields that frame the response. Where they contradict each other, a recipient that is less strict would find
// another end of the response.
func (h *head) checkFraming() error {
	switch {
	case h.chunked && h.isHTTP10:
		return headError("chunks in HTTP/1.0")
	case h.chunked && h.length != noLength:
		return headError("both Content-Length and Transfer-Encoding")
	case (h.isInterim() || h.status == http.StatusNoContent) && (h.chunked || h.length > 0):
		return headError("a body of a status that has none")
	}
	return nil
}
