package intake

import (
	"bytes"
	"math"
)

const (
	// fieldBytes is what net/http allocates for a field of a head or trailer besides its bytes: a place in a map that may be half empty, a
	// list of values, and the copy for the request to the endpoint.
	fieldBytes = 256
	// defaultHeadBytes bounds a head in bytes where the configuration does not.
	defaultHeadBytes = 64 << 10
	// requestLineBytes is what a request line may add to a head's fields, in bytes.
	requestLineBytes = 4 << 10
	// maxHeadBytes bounds a head in bytes whatever the configuration says: a head is not evicted once it is whole.
	maxHeadBytes = 1 << 20
	// bytesPerField is the mean length of a line, in bytes, below which a head of the greatest length has too many fields.
	bytesPerField = 16
	// maxTrailerFields bounds the fields of a trailer. net/http bounds its bytes to 4 KiB.
	maxTrailerFields = 4 << 10 / bytesPerField
)

// part is the part of a request that the next byte belongs to.
type part uint8

const (
	partHead      part = iota
	partHeadEnd        // the head is whole; unless setBody is called, the next byte is that of another head
	partFixedBody      // a body of known length
	partChunkSize
	partChunkExtension // the rest of the line after a chunk's size
	partChunk
	partTrailer
	partUnknown  // no valid chunk; net/http closes the connection
	partTooLarge // a trailer with too many fields
)

// framing follows the requests on a connection, so that their heads' fields are counted before they are parsed. The zero value expects a
// head.
type framing struct {
	part      part
	headBytes int64
	fields    int   // lines of the head or trailer so far
	lineBytes int   // of the present line
	left      int64 // bytes of the body or of the chunk and the line break behind it, or its size so far
}

// scan takes the bytes up to the end of the head or of the request, whichever is first. It returns their number, and that of the fields
// that end in them.
func (f *framing) scan(p []byte) (taken, fields int) {
	before := f.fields
	for taken < len(p) {
		ended := false
		switch f.part {
		case partHeadEnd:
			*f, before = framing{}, 0
		case partHead, partTrailer:
			n := f.scanLine(p[taken:])
			taken += n
			if f.part == partHead {
				f.headBytes += int64(n)
			}
			if p[taken-1] == '\n' {
				ended = f.endLine()
			}
		case partFixedBody, partChunk:
			n := min(int64(len(p)-taken), f.left)
			taken, f.left = taken+int(n), f.left-n
			switch {
			case f.left > 0:
			case f.part == partChunk:
				f.part = partChunkSize
			default:
				ended = true
			}
		case partChunkSize, partChunkExtension:
			f.scanChunkSize(p[taken])
			taken++
		case partUnknown, partTooLarge:
			taken = len(p)
		}
		if ended {
			fields = f.fields - before
			if f.part == partHead {
				f.part = partHeadEnd
			} else {
				*f = framing{}
			}
			return taken, fields
		}
	}
	return taken, f.fields - before
}

// scanLine returns the number of bytes to the end of the line. A line with nothing but a carriage return counts as empty.
func (f *framing) scanLine(p []byte) int {
	n := bytes.IndexByte(p, '\n') + 1
	if n == 0 {
		n = len(p)
	}
	text := p[:n]
	if text[n-1] == '\n' {
		text = text[:n-1]
	}
	if f.lineBytes > 0 || len(text) > 1 || len(text) == 1 && text[0] != '\r' {
		f.lineBytes += len(text)
	}
	return n
}

// endLine counts the line. It reports whether it ends the head or the request.
func (f *framing) endLine() bool {
	empty, first := f.lineBytes == 0, f.fields == 0
	f.lineBytes = 0
	if empty && (!first || f.part == partTrailer) {
		return true
	}
	f.fields++
	if f.part == partTrailer && f.fields > maxTrailerFields {
		f.part = partTooLarge
	}
	return false
}

// scanChunkSize takes one byte of the line with a chunk's size.
func (f *framing) scanChunkSize(b byte) {
	digit, ok := hexDigit(b)
	switch {
	case b == '\n' && f.left == 0:
		f.part = partTrailer
	case b == '\n':
		f.part, f.left = partChunk, f.left+int64(len("\r\n"))
	case f.part == partChunkExtension:
	case !ok:
		f.part = partChunkExtension
	case f.left > math.MaxInt64>>8:
		f.part = partUnknown
	default:
		f.left = f.left<<4 | int64(digit)
	}
}

func hexDigit(b byte) (byte, bool) {
	switch {
	case '0' <= b && b <= '9':
		return b - '0', true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return b | 0x20 - 'a' + 10, true
	default:
		return 0, false
	}
}

// setBody says what follows the head that has ended. length is not positive for a body in chunks.
func (f *framing) setBody(length int64) {
	*f = framing{part: partChunkSize}
	if length > 0 {
		*f = framing{part: partFixedBody, left: length}
	}
}

// headExceeds reports whether the head has more bytes than allowed, or more fields than one of that length.
func (f *framing) headExceeds(headBytes int64) bool {
	return (f.part == partHead || f.part == partHeadEnd) && (f.headBytes > headBytes || int64(f.fields) > headBytes/bytesPerField)
}
