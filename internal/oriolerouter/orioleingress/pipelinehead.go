package orioleingress

import (
	"bytes"
	"strconv"
)

const (
	// maxScannedHead is the size in bytes up to which a head is followed. Larger ones are
	// left to net/http, which has a limit of its own.
	maxScannedHead = 64 << 10
	// scannedLineBytes is the part of a line that is looked at. It is longer than any
	// field that matters here.
	scannedLineBytes = 40
	// maxLengthDigits is the number of digits of a Content-Length that surely fits in an
	// int64.
	maxLengthDigits = 15
)

// headKind says what is known of a request from its head.
type headKind int

const (
	// headIncomplete means that the end of the head was not seen yet.
	headIncomplete headKind = iota
	// headBodiless is the head of a GET or HEAD request that has no body.
	headBodiless
	// headWithLength is the head of a request whose body has a known length.
	headWithLength
	// headOdd means that the end of the request is left to net/http to find.
	headOdd
)

// headScanner finds the end of a request. It is no parser: it accepts heads of which
// every reader finds the same end, and takes all others for odd. Its zero value is at
// the start of a request.
type headScanner struct {
	kind headKind
	// length is the length of the body in bytes.
	length    int64
	hasLength bool
	bodiless  bool
	// line holds the start of the current line, in lower case except the request line,
	// and n is the length of the line. end holds the last bytes of the request line.
	line  [scannedLineBytes]byte
	end   [len(protocolSuffix)]byte
	n     int
	lines int
	size  int
	cr    bool
}

const protocolSuffix = " HTTP/1.1"

// feed scans the next bytes of the stream up to the end of the head, and returns their
// number.
func (s *headScanner) feed(data []byte) (n int) {
	for n < len(data) && s.kind == headIncomplete {
		if s.lines > 0 && s.n == 0 && !s.cr {
			if line, _, found := bytes.Cut(data[n:], []byte("\r\n")); found && s.wholeLine(line) {
				n += len(line) + len("\r\n")
				continue
			}
		}
		s.step(data[n])
		n++
	}
	return n
}

// wholeLine scans a line of a field at once, if it is an ordinary one. It is faster than
// step for each byte.
func (s *headScanner) wholeLine(line []byte) bool {
	if s.size+len(line)+len("\r\n") > maxScannedHead {
		return false
	}
	for _, b := range line {
		if isControl(b) {
			return false
		}
	}
	for i, b := range line[:min(len(line), len(s.line))] {
		s.line[i] = lower(b)
	}
	s.n = len(line)
	s.size += len(line) + len("\r\n")
	s.endLine()
	s.n = 0
	s.lines++
	return true
}

// isControl reports whether the byte may not be in a line.
func isControl(b byte) bool { return (b < ' ' && b != '\t') || b == 0x7f }

// lower returns the byte in lower case.
func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// step scans one byte. Control characters and line ends other than CRLF make a head odd:
// net/http accepts a line feed alone, and other readers may accept more.
func (s *headScanner) step(b byte) {
	s.size++
	switch {
	case s.cr && b == '\n':
		s.cr = false
		s.endLine()
		s.n = 0
		s.lines++
	case s.cr, isControl(b) && b != '\r', s.size > maxScannedHead:
		s.kind = headOdd
	case b == '\r':
		s.cr = true
	default:
		if s.lines == 0 {
			copy(s.end[:], s.end[1:])
			s.end[len(s.end)-1] = b
		} else {
			b = lower(b)
		}
		if s.n < len(s.line) {
			s.line[s.n] = b
		}
		s.n++
	}
}

// endLine handles a complete line.
func (s *headScanner) endLine() {
	line := s.line[:min(s.n, len(s.line))]
	switch {
	case s.lines == 0:
		s.requestLine(line)
	case s.n > 0:
		s.field(line)
	case s.hasLength || !s.bodiless:
		s.kind = headWithLength
	default:
		s.kind = headBodiless
	}
}

func (s *headScanner) requestLine(line []byte) {
	method, _, found := bytes.Cut(line, []byte(" "))
	if !found || string(s.end[:]) != protocolSuffix {
		s.kind = headOdd
		return
	}
	switch string(method) {
	case "GET", "HEAD":
		s.bodiless = true
	case "POST", "PUT", "DELETE", "PATCH":
	default:
		s.kind = headOdd
	}
}

func (s *headScanner) field(line []byte) {
	name, value, found := bytes.Cut(line, []byte(":"))
	whole := s.n <= len(s.line)
	if (!found && whole) || bytes.ContainsAny(name, " \t") {
		// No field, a folded one, or white space before the colon.
		s.kind = headOdd
		return
	}
	switch string(name) {
	case "transfer-encoding", "expect", "upgrade", "trailer":
		s.kind = headOdd
	case "connection":
		if !whole || string(bytes.Trim(value, " \t")) != "keep-alive" {
			s.kind = headOdd
		}
	case "content-length":
		length, ok := parseLength(bytes.TrimPrefix(value, []byte(" ")))
		if !whole || !ok || s.hasLength {
			s.kind = headOdd
			return
		}
		s.length, s.hasLength = length, true
	}
}

// parseLength returns the value of a Content-Length that consists of digits only.
func parseLength(value []byte) (n int64, ok bool) {
	for _, b := range value {
		if b < '0' || b > '9' {
			return 0, false
		}
	}
	if len(value) > maxLengthDigits {
		return 0, false
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	return n, err == nil
}
