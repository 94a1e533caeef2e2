// Package answercheck decides which bytes are an HTTP/1.x answer (RFC 9112). It checks them as they arrive, before a lenient parser reads
// them, so that nothing of an invalid answer is used.
package answercheck

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the bytes of an answer's head with the informational answers before it, of a trailer, and of the line before a chunk.
	maxHeadBytes = 32 << 10
	// maxFields bounds the fields of an answer's head with the informational answers before it, and of a trailer.
	maxFields = 128
	// maxQuoted bounds the bytes of an answer that an error quotes.
	maxQuoted = 80
)

// Errors of Checker.Check.
var (
	ErrInvalid = errors.New("not a valid HTTP/1.1 answer")
	ErrLong    = fmt.Errorf("%w: more than %d bytes or %d fields in a head or trailer", ErrInvalid, maxHeadBytes, maxFields)
	ErrFull    = errors.New("the memory for the heads of answers is used up")
)

// part is what the next byte belongs to.
type part uint8

const (
	statusLine part = iota
	fieldLine
	bodyBytes // of a declared length
	restBytes // until the connection ends
	chunkLine
	chunkBytes
	chunkEnd // the end of the line after a chunk
	trailerLine
)

// Checker checks the answers that arrive on one connection. Its zero value has no budget. Check and Err must not be called concurrently;
// the other methods may be, at any time.
type Checker struct {
	hold     hold
	bodyless atomic.Bool // answers have no body, as to HEAD

	part   part
	left   int64  // of bodyBytes or chunkBytes
	line   []byte // start of a line whose end has not arrived
	head   head
	size   int // bytes of the head, trailer or chunk line that has not ended
	fields int // of the head or trailer that has not ended
	err    error
}

// SetBudget sets the budget for heads, before any other call.
func (c *Checker) SetBudget(budget *Budget) { c.hold.budget = budget }

// Release says that the heads of the answers so far are not held any more.
func (c *Checker) Release() { c.hold.release(false) }

// Close says that the connection is closed.
func (c *Checker) Close() { c.hold.release(true) }

// Begin says that a request with the method is sent on the connection, and that the head of the answer before is not held any more.
func (c *Checker) Begin(method string) {
	c.bodyless.Store(method == "HEAD")
	c.Release()
}

// Check checks the bytes that arrived after those of the call before. It returns the number of bytes that may be used; if these are not
// all, the error says why. All calls after an error return that error.
func (c *Checker) Check(p []byte) (int, error) {
	for at := 0; at < len(p) && c.err == nil; {
		piece := p[at:]
		switch c.part {
		case restBytes:
			return len(p), nil
		case bodyBytes, chunkBytes:
			n := min(c.left, int64(len(piece)))
			c.skip(n)
			at += int(n)
			continue
		}
		end := bytes.IndexByte(piece, '\n')
		if end >= 0 {
			piece = piece[:end+1]
		}
		if c.err = c.take(piece, end >= 0); c.err != nil {
			return at, c.err
		}
		at += len(piece)
	}
	if c.err != nil {
		return 0, c.err
	}
	return len(p), nil
}

// Filter returns the results of a read in place of the bytes that it read and its error: as many bytes as are valid, and the error of
// Check once there are none.
func (c *Checker) Filter(read []byte, err error) (int, error) {
	valid, invalid := c.Check(read)
	switch {
	case invalid == nil:
		return valid, err
	case valid > 0:
		return valid, nil
	default:
		return 0, invalid
	}
}

// Err returns the error of the last Check.
func (c *Checker) Err() error { return c.err }

// skip passes n bytes of a body.
func (c *Checker) skip(n int64) {
	c.left -= n
	if c.left > 0 {
		return
	}
	if c.part == chunkBytes {
		c.part = chunkEnd
		return
	}
	c.part = statusLine
}

// take adds a piece of a line; whole says that it ends the line.
func (c *Checker) take(piece []byte, whole bool) error {
	c.size += len(piece)
	if c.size > maxHeadBytes {
		return ErrLong
	}
	if c.part != chunkLine && c.part != chunkEnd && !c.hold.grow(len(piece), whole) {
		return ErrFull
	}
	line := piece
	if !whole || len(c.line) > 0 {
		c.line = append(c.line, piece...)
		line = c.line
	}
	if !whole {
		return nil
	}
	c.line = nil
	text, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return invalid("line end", line)
	}
	return c.endLine(text)
}

// endLine checks a line, without its end, and moves on to the next part.
func (c *Checker) endLine(line []byte) error {
	var err error
	switch c.part {
	case statusLine:
		c.head, err = parseStatusLine(line)
		c.part = fieldLine
	case fieldLine:
		if len(line) > 0 {
			return c.field(line)
		}
		err = c.endHead()
	case trailerLine:
		if len(line) > 0 {
			return c.field(line)
		}
		c.endPart(statusLine)
	case chunkLine:
		c.left, err = parseChunkLine(line)
		c.endPart(chunkBytes)
		if c.left == 0 {
			c.part = trailerLine
		}
	case chunkEnd:
		if len(line) > 0 {
			return invalid("end of a chunk", line)
		}
		c.endPart(chunkLine)
	}
	return err
}

func (c *Checker) endPart(next part) { c.part, c.size, c.fields = next, 0, 0 }

// field checks a line of a head or trailer.
func (c *Checker) field(line []byte) error {
	if c.fields++; c.fields > maxFields {
		return ErrLong
	}
	name, value, err := parseField(line)
	if err != nil || c.part == trailerLine {
		return err
	}
	return c.head.add(name, value)
}

// endHead moves on to the body, or to the next head.
func (c *Checker) endHead() error {
	if err := c.head.checkFraming(); err != nil {
		return err
	}
	if c.head.informational() {
		c.part = statusLine // its bytes and fields count towards the head that follows
		return nil
	}
	switch {
	case c.head.switches():
		c.endPart(restBytes)
	case c.bodyless.Load() || c.head.bodyless() || c.head.length == 0:
		c.endPart(statusLine)
	case c.head.chunked:
		c.endPart(chunkLine)
	case c.head.length > 0:
		c.left = c.head.length
		c.endPart(bodyBytes)
	default:
		c.endPart(restBytes)
	}
	return nil
}

func invalid(what string, text []byte) error {
	return fmt.Errorf("%w: %s %q", ErrInvalid, what, text[:min(len(text), maxQuoted)])
}
