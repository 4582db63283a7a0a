package hemlockresponse

import (
	"net/http"
	"strings"
)

// The range of valid statuses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// tokenBytes are the bytes of a token (RFC 9110, section 5.6.2), which the name of a field is.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// inToken says for each byte whether a token may contain it.
var inToken = func() (table [256]bool) {
	for _, b := range []byte(tokenBytes) {
		table[b] = true
	}
	return table
}()

func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !inToken[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a text has only bytes that values and reasons may contain: blanks, visible ones and those over 127 (RFC 9110,
// section 5.5).
func isText[T string | []byte](text T) bool {
	for i := range len(text) {
		if b := text[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// CheckHead returns an error if a status is not that of a final response, or if a header has an invalid name or value.
func CheckHead(status int, header http.Header) error {
	for name, values := range header {
		if !isToken(name) {
			return headError("invalid name of a field")
		}
		for _, v := range values {
			if !isText(v) {
				return headError("invalid value of a field")
			}
		}
	}
	return checkFinalStatus(status)
}

func checkFinalStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return headError("status out of range")
	}
	return nil
}

// CheckHeadLines is CheckHead for a header in lines, each ended by CR LF.
func CheckHeadLines(status int, lines string) error {
	for lines != "" {
		line, rest, ended := strings.Cut(lines, "\r\n")
		if !ended {
			return headError("a header line without an end")
		}
		if _, _, err := parseField(line); err != nil {
			return err
		}
		lines = rest
	}
	return checkFinalStatus(status)
}

// parseField splits a header line without its end into a name and a value without the blanks around it.
func parseField[T string | []byte](line T) (name, value T, err error) {
	colon := 0
	for colon < len(line) && line[colon] != ':' {
		colon++
	}
	if colon == len(line) {
		return name, value, headError("a header line without a colon")
	}
	name, value = line[:colon], trimBlanks(line[colon+1:])
	if !isToken(name) {
		return name, value, headError("invalid name of a field")
	}
	if !isText(value) {
		return name, value, headError("invalid value of a field")
	}
	return name, value, nil
}

func trimBlanks[T string | []byte](text T) T {
	isBlank := func(b byte) bool { return b == ' ' || b == '\t' }
	for len(text) > 0 && isBlank(text[0]) {
		text = text[1:]
	}
	for len(text) > 0 && isBlank(text[len(text)-1]) {
		text = text[:len(text)-1]
	}
	return text
}
