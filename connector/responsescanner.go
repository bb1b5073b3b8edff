package connector

import (
	"bytes"
	"errors"
	"io"
	"math"
)

// Errors of responses that are not proper HTTP/1.1. A node passes on none of them, as net/http and the caller could read them differently.
var (
	errStatusLine     = errors.New("malformed response: status line")
	errStatus         = errors.New("malformed response: status outside 100 to 599")
	errSwitched       = errors.New("malformed response: 101 without a request for another protocol")
	errInterim        = errors.New("malformed response: too many interim responses")
	errFieldName      = errors.New("malformed response: field name")
	errFieldValue     = errors.New("malformed response: control byte in a field value")
	errFolded         = errors.New("malformed response: folded field")
	errLineEnd        = errors.New("malformed response: line does not end with CR LF")
	errLength         = errors.New("malformed response: Content-Length")
	errCoding         = errors.New("malformed response: Transfer-Encoding")
	errFraming        = errors.New("malformed response: both Content-Length and Transfer-Encoding")
	errTrailer        = errors.New("malformed response: framing field in the trailers")
	errChunk          = errors.New("malformed response: chunk")
	errUnsolicited    = errors.New("bytes without a request")
	errOverlap        = errors.New("the previous response is not complete")
	errRequestNotSent = errors.New("the connection was closed before the request was sent, so the end of the response is unknown")
)

// maxInterim limits the interim responses (1xx) before a response. Upstreams that report progress send one every few seconds.
const maxInterim = 64

// Bounds of status codes.
const (
	statusLowest  = 100
	statusSwitch  = 101
	statusFinal   = 200
	statusEmpty   = 204
	statusSame    = 304
	statusHighest = 599
)

// scanState is the part of a response that the next byte belongs to.
type scanState uint8

const (
	scanIdle scanState = iota // no response is due
	scanStatusLine
	scanReason
	scanLineLF // the LF that ends a line of the head
	scanFieldStart
	scanFieldName
	scanFieldValue
	scanHeadLF // the LF that ends the head or the trailers
	scanBody   // of known length
	scanUntilClose
	scanChunkStart
	scanChunkSize
	scanChunkPadding
	scanChunkExtension
	scanChunkSizeLF
	scanChunk
	scanChunkCR
	scanChunkLF
)

// framingField is a field that determines how long the body is.
type framingField uint8

const (
	fieldOther framingField = iota
	fieldLength
	fieldCoding
)

// responseScanner checks the bytes of the responses on one HTTP/1.1 connection as they are received and finds their ends.
// It is stricter than net/http, so that both agree on the end of everything that it accepts (FuzzResponse).
// It keeps no bytes of bodies and only the name of the present field. It is not safe for concurrent use.
type responseScanner struct {
	state   scanState
	isHEAD  bool
	trailer bool
	field   framingField
	// position counts the bytes of the status line, of a field's name or of a chunk's size.
	position int
	status   int
	isHTTP10 bool
	interim  int
	// name holds the first bytes of a field's name, and of the value of Transfer-Encoding, in lower case.
	name [len(nameCoding) + 1]byte
	// length is the value of Content-Length or, once the body has begun, the unread bytes of the body or chunk.
	length               int64
	hasLength, isChunked bool
	// value is the Content-Length that is being read; valueEnded is set at a space after it.
	value      int64
	valueEnded bool
}

const (
	nameLength  = "content-length"
	nameCoding  = "transfer-encoding"
	codingChunk = "chunked"

	statusStart   = "HTTP/1."
	versionAt     = len(statusStart)
	spaceAt       = versionAt + 1
	statusAt      = spaceAt + 1
	afterStatusAt = statusAt + 3

	// chunkDigits limits the digits of a chunk's size, as net/http does.
	chunkDigits = 16
)

// Classes of bytes.
const (
	byteName  = 1 << iota // in a field name (tchar of RFC 9110)
	byteValue             // in a field value, a reason or a chunk extension
)

// byteClasses holds the classes of each byte.
var byteClasses = func() (out [256]uint8) {
	for ix := range out {
		ch := byte(ix)
		isAlnum := ch >= '0' && ch <= '9' || ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z'
		if isAlnum || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), ch) >= 0 {
			out[ix] |= byteName
		}
		if ch == '\t' || ch >= ' ' && ch != 0x7f {
			out[ix] |= byteValue
		}
	}
	return out
}()

// begin expects the response to a request. An error means that the previous response has not ended.
func (rs *responseScanner) begin(isHEAD bool) error {
	if rs.state != scanIdle {
		return errOverlap
	}
	*rs = responseScanner{state: scanStatusLine, isHEAD: isHEAD}
	return nil
}

// endsWithConn reports whether the present response ends with the connection.
func (rs *responseScanner) endsWithConn() bool { return rs.state == scanUntilClose }

// scan checks the next bytes and returns how many of them may be delivered: all without an error, otherwise less than the end of the
// malformed part. An error is final.
func (rs *responseScanner) scan(buf []byte) (int, error) {
	for at := 0; at < len(buf); {
		n, err := rs.step(buf[at:])
		if err != nil {
			return at, err
		}
		at += n
	}
	return len(buf), nil
}

// step checks at least one byte, of one part of the response, and returns how many it checked.
func (rs *responseScanner) step(buf []byte) (int, error) {
	switch rs.state {
	case scanIdle:
		return 0, errUnsolicited
	case scanBody, scanChunk:
		return rs.skipBody(buf), nil
	case scanUntilClose:
		return len(buf), nil
	case scanFieldName:
		return rs.scanName(buf)
	case scanFieldValue:
		return rs.scanValue(buf)
	case scanReason, scanChunkExtension:
		return rs.scanText(buf)
	case scanStatusLine:
		return 1, rs.scanStatus(buf[0])
	case scanFieldStart:
		return 1, rs.startField(buf[0])
	case scanLineLF, scanHeadLF, scanChunkSizeLF, scanChunkLF:
		return 1, rs.endLine(buf[0])
	default:
		return 1, rs.scanChunkLine(buf[0])
	}
}

// skipBody returns how many bytes belong to the body or chunk.
func (rs *responseScanner) skipBody(buf []byte) int {
	n := int(min(int64(len(buf)), rs.length))
	if rs.length -= int64(n); rs.length > 0 {
		return n
	}
	if rs.state == scanChunk {
		rs.state = scanChunkCR
	} else {
		rs.state = scanIdle
	}
	return n
}

// scanStatus checks a byte of the status line, up to the reason.
func (rs *responseScanner) scanStatus(ch byte) error {
	at := rs.position
	rs.position++
	ok := true
	switch {
	case at < versionAt:
		ok = ch == statusStart[at]
	case at == versionAt:
		ok = ch == '0' || ch == '1'
		rs.isHTTP10 = ch == '0'
	case at == spaceAt:
		ok = ch == ' '
	case at < afterStatusAt:
		ok = isDigit(ch)
		rs.status = rs.status*10 + int(ch-'0')
	case ch == ' ':
		rs.state = scanReason
		return rs.checkStatus()
	case ch == '\r':
		rs.state = scanLineLF
		return rs.checkStatus()
	default:
		ok = false
	}
	if !ok {
		return errStatusLine
	}
	return nil
}

func (rs *responseScanner) checkStatus() error {
	switch {
	case rs.status < statusLowest || rs.status > statusHighest:
		return errStatus
	case rs.status == statusSwitch:
		return errSwitched
	default:
		return nil
	}
}

// scanText checks bytes of a reason or a chunk extension, up to the CR after it.
func (rs *responseScanner) scanText(buf []byte) (int, error) {
	n, ended, err := textLen(buf)
	if err != nil {
		return n, err
	}
	if ended && rs.state == scanReason {
		rs.state = scanLineLF
	} else if ended {
		rs.state = scanChunkSizeLF
	}
	return n, nil
}

// textLen returns how many bytes belong to a line, its CR included, and whether that was found.
func textLen(buf []byte) (n int, ended bool, err error) {
	for ix, ch := range buf {
		if byteClasses[ch]&byteValue != 0 {
			continue
		}
		switch ch {
		case '\r':
			return ix + 1, true, nil
		case '\n':
			return ix, false, errLineEnd
		default:
			return ix, false, errFieldValue
		}
	}
	return len(buf), false, nil
}

// startField checks the first byte of a line of the head or the trailers.
func (rs *responseScanner) startField(ch byte) error {
	switch {
	case ch == '\r':
		rs.state = scanHeadLF
		return nil
	case ch == ' ', ch == '\t':
		return errFolded
	case ch == '\n':
		return errLineEnd
	case byteClasses[ch]&byteName == 0:
		return errFieldName
	default:
		rs.state = scanFieldName
		rs.name[0] = lower(ch)
		rs.position = 1
		return nil
	}
}

// scanName checks bytes of a field's name, up to the colon.
func (rs *responseScanner) scanName(buf []byte) (int, error) {
	at := rs.position
	for ix, ch := range buf {
		if byteClasses[ch]&byteName != 0 {
			if at < len(rs.name) {
				rs.name[at] = lower(ch)
			}
			at++
			continue
		}
		rs.position = at
		if ch != ':' {
			return ix, errFieldName
		}
		rs.state = scanFieldValue
		return ix + 1, rs.startValue()
	}
	rs.position = at
	return len(buf), nil
}

// startValue finds out whether the field frames the body.
func (rs *responseScanner) startValue() error {
	rs.field = fieldOther
	switch {
	case rs.position == len(nameLength) && string(rs.name[:len(nameLength)]) == nameLength:
		rs.field = fieldLength
	case rs.position == len(nameCoding) && string(rs.name[:len(nameCoding)]) == nameCoding:
		rs.field = fieldCoding
	default:
		return nil
	}
	rs.position, rs.value, rs.valueEnded = 0, 0, false
	if rs.trailer {
		return errTrailer
	}
	return nil
}

// scanValue checks bytes of a field's value, up to the CR after it.
func (rs *responseScanner) scanValue(buf []byte) (int, error) {
	n, ended, err := textLen(buf)
	if err != nil {
		return n, err
	}
	text := buf[:n]
	if ended {
		text = text[:n-1]
	}
	if rs.field != fieldOther {
		for _, ch := range text {
			if err := rs.scanFramingByte(ch); err != nil {
				return n, err
			}
		}
	}
	if !ended {
		return n, nil
	}
	rs.state = scanLineLF
	return n, rs.endValue()
}

// scanFramingByte adds a byte to the value of a field that frames the body. Spaces are allowed around the value.
func (rs *responseScanner) scanFramingByte(ch byte) error {
	if ch == ' ' || ch == '\t' {
		rs.valueEnded = rs.position > 0
		return nil
	}
	bad := errLength
	if rs.field == fieldCoding {
		bad = errCoding
	}
	if rs.valueEnded {
		return bad
	}
	if rs.field == fieldCoding {
		if rs.position >= len(codingChunk) || lower(ch) != codingChunk[rs.position] {
			return bad
		}
		rs.position++
		return nil
	}
	digit := int64(ch) - '0'
	if !isDigit(ch) || rs.value > (math.MaxInt64-digit)/10 {
		return bad
	}
	rs.value = rs.value*10 + digit
	rs.position++
	return nil
}

// endValue checks the complete value of a field that frames the body. A repeated Content-Length must be the same.
func (rs *responseScanner) endValue() error {
	switch rs.field {
	case fieldLength:
		if rs.position == 0 || rs.hasLength && rs.value != rs.length {
			return errLength
		}
		rs.hasLength, rs.length = true, rs.value
	case fieldCoding:
		if rs.position != len(codingChunk) || rs.isChunked {
			return errCoding
		}
		rs.isChunked = true
	default:
	}
	return nil
}

// endLine checks the LF after a CR.
func (rs *responseScanner) endLine(ch byte) error {
	if ch != '\n' {
		return errLineEnd
	}
	switch rs.state {
	case scanLineLF:
		rs.state = scanFieldStart
	case scanChunkLF:
		rs.state, rs.position, rs.length = scanChunkStart, 0, 0
	case scanChunkSizeLF:
		rs.state = scanChunk
		if rs.length == 0 {
			rs.state, rs.trailer = scanFieldStart, true
		}
	default:
		return rs.endHead()
	}
	return nil
}

// endHead determines how the body is framed, at the end of a head, or ends the response, at the end of its trailers.
func (rs *responseScanner) endHead() error {
	switch {
	case rs.trailer:
		rs.state = scanIdle
	case rs.isChunked && rs.hasLength:
		return errFraming
	case rs.isChunked && rs.isHTTP10:
		return errCoding
	case rs.status < statusFinal:
		if rs.interim == maxInterim {
			return errInterim
		}
		*rs = responseScanner{state: scanStatusLine, isHEAD: rs.isHEAD, interim: rs.interim + 1}
	case rs.isHEAD, rs.status == statusEmpty, rs.status == statusSame, rs.hasLength && rs.length == 0:
		rs.state = scanIdle
	case rs.isChunked:
		rs.state, rs.position, rs.length = scanChunkStart, 0, 0
	case rs.hasLength:
		rs.state = scanBody
	default:
		rs.state = scanUntilClose
	}
	return nil
}

// scanChunkLine checks a byte of the line before a chunk, or the CR after a chunk.
func (rs *responseScanner) scanChunkLine(ch byte) error {
	if rs.state == scanChunkCR {
		rs.state = scanChunkLF
		return expect(ch == '\r')
	}
	digit, isHex := hexDigit(ch)
	switch {
	case isHex && rs.state != scanChunkPadding:
		rs.state = scanChunkSize
		if rs.position++; rs.position > chunkDigits || rs.length > (math.MaxInt64-digit)/16 {
			return errChunk
		}
		rs.length = rs.length*16 + digit
	case rs.state == scanChunkStart:
		return errChunk
	case ch == '\r':
		rs.state = scanChunkSizeLF
	case ch == ' ', ch == '\t':
		rs.state = scanChunkPadding
	case ch == ';' && rs.state == scanChunkSize:
		rs.state = scanChunkExtension
	default:
		return errChunk
	}
	return nil
}

func expect(ok bool) error {
	if !ok {
		return errChunk
	}
	return nil
}

func isDigit(ch byte) bool { return ch >= '0' && ch <= '9' }

func hexDigit(ch byte) (int64, bool) {
	switch ch = lower(ch); {
	case isDigit(ch):
		return int64(ch - '0'), true
	case ch >= 'a' && ch <= 'f':
		return int64(ch-'a') + 10, true
	default:
		return 0, false
	}
}

func lower(ch byte) byte {
	if ch >= 'A' && ch <= 'Z' {
		return ch + ('a' - 'A')
	}
	return ch
}

// scanReader reads one response and checks it.
type scanReader struct {
	io.Reader
	scanner responseScanner
}

// Read implements io.Reader.
func (sr *scanReader) Read(buf []byte) (int, error) {
	n, err := sr.Reader.Read(buf)
	if accepted, serr := sr.scanner.scan(buf[:n]); serr != nil {
		return accepted, serr
	}
	return n, err
}
