package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
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
// without the blank line that ends it is dropped.
type eventReader struct {
	reader *bufio.Reader
	data   []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferSize)}
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
