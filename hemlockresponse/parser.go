package hemlockresponse

import (
	"bytes"
	"math"
	"strconv"
)

const (
	// maxHeadBytes limits a head.
	maxHeadBytes = 64 << 10
	// maxTrailerBytes limits the trailers of a response, which are in no memory budget. The parser of the library accepts no more either.
	maxTrailerBytes = 4 << 10
	// maxChunkLineBytes limits a line with the size of a chunk.
	maxChunkLineBytes = 4 << 10
	// endOfLineBytes is the size of CR LF.
	endOfLineBytes = 2
)

// phase is the part of a response that the next byte belongs to.
type phase uint8

const (
	// phaseIdle means that no response is expected.
	phaseIdle phase = iota
	phaseStatusLine
	phaseField
	// phaseBody is a body with a length, or one that ends with the connection.
	phaseBody
	phaseChunkSize
	phaseChunkData
	// phaseChunkEnd is the end of line behind the data of a chunk.
	phaseChunkEnd
	phaseTrailer
)

// untilClose is the remaining length of a body that ends with the connection.
const untilClose = math.MaxInt64

// parser follows the bytes of responses and checks them. It is used by one goroutine at a time.
type parser struct {
	// method is that of the request whose response is expected.
	method string
	phase  phase
	head   head
	// remaining is the number of bytes left of the body or of the chunk, in phaseBody and phaseChunkData above 0.
	remaining int64
	// sectionBytes and fieldCount are the size of the head or the trailers so far.
	sectionBytes, fieldCount int
}

// expect begins a response to a request with the method.
func (p *parser) expect(method string) {
	*p = parser{method: method, phase: phaseStatusLine}
}

// inHead reports whether the next byte belongs to a head.
func (p *parser) inHead() bool {
	return p.phase == phaseStatusLine || p.phase == phaseField
}

// mayEnd reports whether the connection may end here without cutting off a response.
func (p *parser) mayEnd() bool {
	return p.phase == phaseIdle || p.phase == phaseStatusLine || p.phase == phaseBody && p.remaining == untilClose
}

// skipData returns how many of the bytes are data of a body, from the first one on.
func (p *parser) skipData(data []byte) int {
	if p.phase != phaseBody && p.phase != phaseChunkData {
		return 0
	}
	if p.remaining == untilClose {
		return len(data)
	}
	n := int(min(p.remaining, int64(len(data))))
	p.remaining -= int64(n)
	if p.remaining == 0 {
		p.endData()
	}
	return n
}

// endData begins the phase behind the data of a body or chunk.
func (p *parser) endData() {
	if p.phase == phaseChunkData {
		p.phase = phaseChunkEnd
		return
	}
	p.phase = phaseIdle
}

// addLine checks a line without its end, which must not be called in a phase of data.
func (p *parser) addLine(line []byte) error {
	switch p.phase {
	case phaseStatusLine:
		return p.addStatusLine(line)
	case phaseField:
		return p.addField(line)
	case phaseChunkSize:
		return p.addChunkSize(line)
	case phaseChunkEnd:
		if len(line) > 0 {
			return bodyError("a chunk is longer than its size")
		}
		p.phase = phaseChunkSize
		return nil
	default:
		return p.addTrailer(line)
	}
}

func (p *parser) addStatusLine(line []byte) (err error) {
	p.sectionBytes, p.fieldCount = len(line)+endOfLineBytes, 0
	p.head, err = parseStatusLine(line)
	p.phase = phaseField
	return err
}

func (p *parser) addField(line []byte) error {
	if len(line) == 0 {
		return p.endHead()
	}
	p.fieldCount++
	p.sectionBytes += len(line) + endOfLineBytes
	return p.head.addField(line)
}

// endHead begins the phase behind a head.
func (p *parser) endHead() error {
	if err := p.head.checkFraming(); err != nil {
		return err
	}
	switch {
	case p.head.isInterim():
		p.phase = phaseStatusLine
	case p.head.hasNoBody(p.method) || p.head.length == 0:
		p.phase = phaseIdle
	case p.head.chunked:
		p.phase = phaseChunkSize
	case p.head.length == noLength:
		p.phase, p.remaining = phaseBody, untilClose
	default:
		p.phase, p.remaining = phaseBody, p.head.length
	}
	return nil
}

func (p *parser) addChunkSize(line []byte) error {
	digits, extension, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil {
		return bodyError("invalid size of a chunk")
	}
	if !isText(extension) {
		return bodyError("invalid extension of a chunk")
	}
	if size == 0 {
		p.phase, p.sectionBytes = phaseTrailer, 0
		return nil
	}
	p.phase, p.remaining = phaseChunkData, int64(size)
	return nil
}

// addTrailer refuses the fields that frame a response: behind its body they can only be those of another one.
func (p *parser) addTrailer(line []byte) error {
	if len(line) == 0 {
		p.phase = phaseIdle
		return nil
	}
	p.sectionBytes += len(line) + endOfLineBytes
	name, _, err := parseField(line)
	if err != nil {
		return bodyError("malformed trailer")
	}
	if isNamed(name, "Content-Length") || isNamed(name, "Transfer-Encoding") {
		return bodyError("a trailer that frames a response")
	}
	return nil
}

// checkLineBytes returns an error if a line that has so many bytes without its end exceeds its limit.
func (p *parser) checkLineBytes(bytes int) error {
	switch p.phase {
	case phaseStatusLine:
		if bytes > maxHeadBytes {
			return headError("the head is too large")
		}
	case phaseField:
		if p.sectionBytes+bytes > maxHeadBytes {
			return headError("the head is too large")
		}
	case phaseTrailer:
		if p.sectionBytes+bytes > maxTrailerBytes {
			return bodyError("the trailers are too large")
		}
	default:
		if bytes > maxChunkLineBytes {
			return bodyError("the line with the size of a chunk is too long")
		}
	}
	return nil
}
