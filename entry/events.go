package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"plumbarrow.example/plumbarrow/intake"
)

const (
	maxEventBytes   = 1 << 20
	eventBufferSize = 32 << 10
)

var (
	dataField = []byte("data:")
	eventEnd  = []byte("\n\n")
)

// errEventTooLong is returned for an event or a line longer than maxEventBytes.
var errEventTooLong = errors.New("server-sent event or line is too long")

// eventReader splits a stream of server-sent events. It returns complete events only: an event
// without the blank line that ends it is dropped. The account is charged for events and lines above
// eventBufferSize, until close.
type eventReader struct {
	reader  *bufio.Reader
	data    []byte
	account *intake.Account
	held    int64
}

func newEventReader(account *intake.Account, r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferSize), account: account}
}

// close gives back what the account holds for the events.
func (e *eventReader) close() { e.account.Shrink(e.held) }

// hold makes room for an event and a line of n bytes together. Its errors are those of intake.Account.Grow.
func (e *eventReader) hold(n int) error {
	more := int64(n) - eventBufferSize - e.held
	if more <= 0 {
		return nil
	}
	if err := e.account.Grow(more); err != nil {
		return err
	}
	e.held += more
	return nil
}

// next returns the data of the next event, valid until the following call. It returns io.EOF at the
// end of the stream, also if the stream ends within an event.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue // comments and fields other than data are skipped
		}
		if hasData {
			e.data = append(e.data, '\n')
		}
		hasData = true
		if err := e.hold(len(e.data) + len(line)); err != nil {
			return nil, err
		}
		e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(e.data) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// line returns the next line without its line end. A last line that has none is dropped.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return e.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

func (e *eventReader) longLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= maxEventBytes {
		more, err := e.reader.ReadSlice('\n')
		if err := e.hold(len(e.data) + len(long) + len(more)); err != nil {
			return nil, err
		}
		long = append(long, more...)
		if err == nil {
			return bytes.TrimSuffix(long[:len(long)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	return nil, errEventTooLong
}

// pending reports whether a complete event is buffered, so that next returns without blocking.
func (e *eventReader) pending() bool {
	buffered, _ := e.reader.Peek(e.reader.Buffered())
	return bytes.Contains(buffered, eventEnd)
}
