// Package response contains responses as targets in trouble send them, and sound ones that are unusual. Tests send them to
// everything that reads responses.
package response

import (
	"fmt"
	"slices"
	"strings"
)

// Response is the text of one response.
type Response struct {
	Name string
	Text string
	// Status is the status of a sound response; 0 for a broken one.
	Status int
	// Body is the body of a sound response.
	Body string
	// Unframed is set if the end of the connection is the end of the body.
	Unframed bool
}

// tokenBytes are all bytes that the name of a field may contain (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// message builds responses around the same fields and body.
type message struct {
	fields, body string
}

func (m message) length() string { return fmt.Sprintf("Content-Length: %d\r\n", len(m.body)) }

// chunks returns the body as one chunk, with the last chunk and without trailers.
func (m message) chunks() string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(m.body), m.body) }

func (m message) withField(line string) string {
	return "HTTP/1.1 200 OK\r\n" + m.fields + line + "\r\n" + m.length() + "\r\n" + m.body
}

func (m message) withStatusLine(line string) string {
	return line + "\r\n" + m.fields + m.length() + "\r\n" + m.body
}

// framedBy returns a response with the given framing fields and what follows its head.
func (m message) framedBy(lines, text string) string {
	return "HTTP/1.1 200 OK\r\n" + m.fields + lines + "\r\n" + text
}

// BrokenHeads returns responses whose heads break the protocol (RFC 9110 and 9112). The fields are header lines that each of them
// contains, each ended by CR LF.
func BrokenHeads(fields, body string) []Response {
	return slices.Concat(BrokenFields(fields, body), BrokenStatusLines(fields, body), BrokenFramings(fields, body))
}

// BrokenFields returns responses with a header line that breaks the protocol.
func BrokenFields(fields, body string) []Response {
	m := message{fields, body}
	return []Response{
		{Name: "a blank in the name of a field", Text: m.withField("X Name: 1")},
		{Name: "a blank before the colon", Text: m.withField("X-Name : 1")},
		{Name: "a tab in the name of a field", Text: m.withField("X\tName: 1")},
		{Name: "a tab before the colon", Text: m.withField("X-Name\t: 1")},
		{Name: "a control byte in the name of a field", Text: m.withField("X\x01Name: 1")},
		{Name: "a delete byte in the name of a field", Text: m.withField("X\x7fName: 1")},
		{Name: "a zero byte in the name of a field", Text: m.withField("X\x00Name: 1")},
		{Name: "a byte over 127 in the name of a field", Text: m.withField("X\xe9Name: 1")},
		{Name: "a separator in the name of a field", Text: m.withField("X(Name): 1")},
		{Name: "a field without a name", Text: m.withField(": 1")},
		{Name: "a field without a colon", Text: m.withField("X-Name")},
		{Name: "a folded field", Text: m.withField("X-Name: 1\r\n 2")},
		{Name: "a first field that begins with a blank", Text: "HTTP/1.1 200 OK\r\n X-Name: 1\r\n" + fields + m.length() + "\r\n" + body},
		{Name: "a zero byte in a value", Text: m.withField("X-Name: 1\x002")},
		{Name: "a control byte in a value", Text: m.withField("X-Name: 1\x012")},
		{Name: "a delete byte in a value", Text: m.withField("X-Name: 1\x7f2")},
		{Name: "a carriage return in a value", Text: m.withField("X-Name: 1\r2")},
		{Name: "a line feed in a value", Text: m.withField("X-Name: 1\nX-Other: 2")},
		{Name: "a blank in the name of the transfer coding", Text: m.framedBy("Transfer Encoding: chunked\r\n", m.chunks())},
		{Name: "a blank before the colon of the transfer coding", Text: m.framedBy("Transfer-Encoding : chunked\r\n"+m.length(), body)},
		{Name: "a blank before the colon of the length", Text: m.framedBy("Content-Length : 1\r\n"+m.length(), body)},
		{Name: "a blank before the colon of the only length", Text: m.framedBy("Content-Length : 1\r\n", body)},
		{Name: "an interim head with a blank in the name of a field",
			Text: "HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\n" + m.withStatusLine("HTTP/1.1 200 OK")},
	}
}

// BrokenStatusLines returns responses whose status lines break the protocol, or have a status that no response to the request can have.
func BrokenStatusLines(fields, body string) []Response {
	m := message{fields, body}
	return []Response{
		{Name: "status 000", Text: m.withStatusLine("HTTP/1.1 000 OK")},
		{Name: "status 000 before another response", Text: "HTTP/1.1 000 OK\r\n\r\n" + m.withStatusLine("HTTP/1.1 200 OK")},
		{Name: "status 099", Text: m.withStatusLine("HTTP/1.1 099 OK")},
		{Name: "status 099 before another response", Text: "HTTP/1.1 099 OK\r\n\r\n" + m.withStatusLine("HTTP/1.1 200 OK")},
		{Name: "status 101 without an upgrade", Text: "HTTP/1.1 101 OK\r\n\r\n" + m.withStatusLine("HTTP/1.1 200 OK")},
		{Name: "status 600", Text: m.withStatusLine("HTTP/1.1 600 OK")},
		{Name: "status 999", Text: m.withStatusLine("HTTP/1.1 999 OK")},
		{Name: "a status of two digits", Text: m.withStatusLine("HTTP/1.1 20 OK")},
		{Name: "a status of four digits", Text: m.withStatusLine("HTTP/1.1 2000 OK")},
		{Name: "a signed status", Text: m.withStatusLine("HTTP/1.1 +20 OK")},
		{Name: "a status in letters", Text: m.withStatusLine("HTTP/1.1 abc OK")},
		{Name: "no status", Text: m.withStatusLine("HTTP/1.1")},
		{Name: "two blanks before the status", Text: m.withStatusLine("HTTP/1.1  200 OK")},
		{Name: "a tab before the status", Text: m.withStatusLine("HTTP/1.1\t200 OK")},
		{Name: "a tab behind the status", Text: m.withStatusLine("HTTP/1.1 200\tOK")},
		{Name: "a control byte in the reason", Text: m.withStatusLine("HTTP/1.1 200 O\x01K")},
		{Name: "a carriage return in the reason", Text: m.withStatusLine("HTTP/1.1 200 O\rK")},
		{Name: "version 2.0", Text: m.withStatusLine("HTTP/2.0 200 OK")},
		{Name: "version 0.9", Text: m.withStatusLine("HTTP/0.9 200 OK")},
		{Name: "a version in lower case", Text: m.withStatusLine("http/1.1 200 OK")},
		{Name: "a version of three digits", Text: m.withStatusLine("HTTP/1.10 200 OK")},
		{Name: "another protocol", Text: m.withStatusLine("ICY 200 OK")},
		{Name: "an empty line first", Text: "\r\n" + m.withStatusLine("HTTP/1.1 200 OK")},
		{Name: "a blank first", Text: m.withStatusLine(" HTTP/1.1 200 OK")},
		{Name: "lines without carriage returns", Text: strings.ReplaceAll(m.withStatusLine("HTTP/1.1 200 OK"), "\r\n", "\n")},
		{Name: "a status line without a carriage return", Text: "HTTP/1.1 200 OK\n" + fields + m.length() + "\r\n" + body},
	}
}

// BrokenFramings returns responses whose fields do not say, or contradict each other on, where the body ends.
func BrokenFramings(fields, body string) []Response {
	m := message{fields, body}
	return []Response{
		{Name: "chunks in HTTP/1.0", Text: "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + m.chunks()},
		{Name: "a length and chunks", Text: m.framedBy(m.length()+"Transfer-Encoding: chunked\r\n", m.chunks())},
		{Name: "chunks and a length", Text: m.framedBy("Transfer-Encoding: chunked\r\n"+m.length(), m.chunks())},
		{Name: "two different lengths", Text: m.framedBy("Content-Length: 1\r\n"+m.length(), body)},
		{Name: "a list of lengths", Text: m.framedBy(fmt.Sprintf("Content-Length: %d, 1\r\n", len(body)), body)},
		{Name: "a signed length", Text: m.framedBy(fmt.Sprintf("Content-Length: +%d\r\n", len(body)), body)},
		{Name: "a negative length", Text: m.framedBy("Content-Length: -1\r\n", body)},
		{Name: "a hexadecimal length", Text: m.framedBy(fmt.Sprintf("Content-Length: 0x%x\r\n", len(body)), body)},
		{Name: "an empty length", Text: m.framedBy("Content-Length:\r\n", body)},
		{Name: "a length out of range", Text: m.framedBy("Content-Length: 18446744073709551616\r\n", body)},
		{Name: "another transfer coding", Text: m.framedBy("Transfer-Encoding: gzip\r\n", body)},
		{Name: "two transfer codings", Text: m.framedBy("Transfer-Encoding: gzip, chunked\r\n", m.chunks())},
		{Name: "chunks twice", Text: m.framedBy("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", m.chunks())},
		{Name: "an empty transfer coding", Text: m.framedBy("Transfer-Encoding:\r\n"+m.length(), body)},
		{Name: "a parameter of the transfer coding", Text: m.framedBy("Transfer-Encoding: chunked;a=b\r\n", m.chunks())},
		{Name: "status 204 with chunks", Text: "HTTP/1.1 204 No Content\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + m.chunks()},
		{Name: "status 204 with a length", Text: "HTTP/1.1 204 No Content\r\n" + fields + m.length() + "\r\n" + body},
		{Name: "an interim head with a body", Text: "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\nx" +
			m.withStatusLine("HTTP/1.1 200 OK")},
	}
}

// BrokenBodies returns responses whose heads are sound and whose chunks or trailers break the protocol. The body must not be empty.
func BrokenBodies(fields, body string) []Response {
	head := "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	withTrailer := func(lines string) string { return head + chunk + "0\r\n" + lines + "\r\n" }
	return []Response{
		{Name: "a blank in the name of a trailer", Text: withTrailer("X Name: 1\r\n")},
		{Name: "a blank before the colon of a trailer", Text: withTrailer("X-Name : 1\r\n")},
		{Name: "a control byte in the name of a trailer", Text: withTrailer("X\x01Name: 1\r\n")},
		{Name: "a control byte in the value of a trailer", Text: withTrailer("X-Name: 1\x01\r\n")},
		{Name: "a folded trailer", Text: withTrailer("X-Name: 1\r\n 2\r\n")},
		{Name: "a status line in the trailers", Text: withTrailer("HTTP/1.1 200 OK\r\n" + fields)},
		{Name: "a length in the trailers", Text: withTrailer("Content-Length: 1\r\n")},
		{Name: "a transfer coding in the trailers", Text: withTrailer("Transfer-Encoding: chunked\r\n")},
		{Name: "a trailer without a carriage return", Text: withTrailer("X-Name: 1\n")},
		{Name: "trailers that end early", Text: head + chunk + "0\r\nX-Name: 1\r\n"},
		{Name: "no trailer section", Text: head + chunk + "0\r\n"},
		{Name: "a chunk size in letters", Text: head + "zz\r\n" + body + "\r\n0\r\n\r\n"},
		{Name: "a signed chunk size", Text: head + "+" + chunk + "0\r\n\r\n"},
		{Name: "a chunk size with a prefix", Text: head + "0x" + chunk + "0\r\n\r\n"},
		{Name: "a blank before the chunk size", Text: head + " " + chunk + "0\r\n\r\n"},
		{Name: "an empty chunk size", Text: head + "\r\n" + body + "\r\n0\r\n\r\n"},
		{Name: "a chunk size out of range", Text: head + "10000000000000000\r\n" + body + "\r\n0\r\n\r\n"},
		{Name: "a chunk size without a carriage return", Text: head + strings.Replace(chunk, "\r\n", "\n", 1) + "0\r\n\r\n"},
		{Name: "a control byte in a chunk extension", Text: head + strings.Replace(chunk, "\r\n", ";a=\x01\r\n", 1) + "0\r\n\r\n"},
		{Name: "a chunk longer than its size", Text: head + fmt.Sprintf("%x\r\n%sx\r\n0\r\n\r\n", len(body), body)},
		{Name: "a chunk that ends without a carriage return", Text: head + fmt.Sprintf("%x\r\n%s\n0\r\n\r\n", len(body), body)},
		{Name: "no last chunk", Text: head + chunk},
	}
}

// Sound returns unusual responses that are sound. The fields are header lines that each of them contains, each ended by CR LF; the body
// must have at least two bytes.
func Sound(fields, body string) []Response {
	m := message{fields, body}
	ok := func(name, text string) Response { return Response{Name: name, Text: text, Status: 200, Body: body} }
	chunked := "Transfer-Encoding: chunked\r\n"
	size := fmt.Sprintf("%x", len(body))
	empty := func(name, text string, status int) Response { return Response{Name: name, Text: text, Status: status} }
	unframed := func(name, text string) Response {
		return Response{Name: name, Text: text, Status: 200, Body: body, Unframed: true}
	}
	return []Response{
		ok("an empty value", m.withField("X-Name:")),
		ok("blanks around a value", m.withField("X-Name: \t 1 2 \t")),
		ok("no blank before a value", m.withField("X-Name:1")),
		ok("bytes over 127 in a value", m.withField("X-Name: caf\xe9 \xc3\xa9 \xff")),
		ok("a colon in a value", m.withField("X-Name: a:b : c")),
		ok("each byte that a name may hold", m.withField(tokenBytes+": 1")),
		ok("names in lower case", m.withField("x-name: 1\r\nconnection: keep-alive")),
		ok("a long value", m.withField("X-Name: "+strings.Repeat("x", 32<<10))),
		ok("many fields", m.withField(strings.Repeat("X-Name: 1\r\n", 199)+"X-Name: 1")),
		ok("a connection that closes behind it", m.withField("Connection: close")),
		ok("the same length twice", m.framedBy(m.length()+m.length(), body)),
		ok("an empty reason", m.withStatusLine("HTTP/1.1 200 ")),
		ok("no blank behind the status", m.withStatusLine("HTTP/1.1 200")),
		ok("bytes over 127 in the reason", m.withStatusLine("HTTP/1.1 200 D'accord, c'est \xe9crit")),
		ok("a higher minor version", m.withStatusLine("HTTP/1.2 200 OK")),
		ok("HTTP/1.0", m.withStatusLine("HTTP/1.0 200 OK")),
		ok("an interim head", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"+m.withStatusLine("HTTP/1.1 200 OK")),
		ok("two interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"+m.withStatusLine("HTTP/1.1 200 OK")),
		ok("several chunks", m.framedBy(chunked, "1\r\n"+body[:1]+"\r\n"+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body[1:]))),
		ok("a transfer coding in capitals", m.framedBy("Transfer-Encoding: Chunked\r\n", size+"\r\n"+body+"\r\n0\r\n\r\n")),
		ok("chunk extensions", m.framedBy(chunked, size+";a=b;c=\"d e\"\r\n"+body+"\r\n0;last\r\n\r\n")),
		ok("leading zeros of a chunk size", m.framedBy(chunked, "000"+strings.ToUpper(size)+"\r\n"+body+"\r\n000\r\n\r\n")),
		ok("trailers", m.framedBy(chunked, size+"\r\n"+body+"\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n")),
		empty("status 204 without a length", "HTTP/1.1 204 No Content\r\n"+fields+"\r\n", 204),
		empty("status 204 with length 0", "HTTP/1.1 204 No Content\r\n"+fields+"Content-Length: 0\r\n\r\n", 204),
		empty("status 304 with the length of what was not sent", "HTTP/1.1 304 Not Modified\r\n"+fields+m.length()+"\r\n", 304),
		empty("status 599", "HTTP/1.1 599 X\r\n"+fields+"Content-Length: 0\r\n\r\n", 599),
		unframed("no length", m.framedBy("Connection: close\r\n", body)),
		unframed("no length in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+fields+"\r\n"+body),
	}
}
