package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

var (
	errNoEvent    = errors.New("the stream holds bytes that are no event")
	errEventNoID  = errors.New("the stream holds an event without an id")
	errEventOrder = errors.New("the id of an event does not increase")
)

// eventOrder checks that the events of a stream belong to it: their ids are numbers that increase. It tells events from the text of
// an error, and the rest of a stream from one that starts again.
type eventOrder struct {
	last    int64
	started bool // last is valid
}

// orderAfter returns the order of a stream that goes on after the event with the id; an id that is no number starts a new order.
func orderAfter(id string) eventOrder {
	last, err := strconv.ParseInt(id, 10, 64)
	return eventOrder{last: last, started: err == nil}
}

// accept checks the next event, without its end. Comments and retry times need no id. The error is errNoEvent, errEventNoID or
// errEventOrder.
func (o *eventOrder) accept(event []byte) error {
	id, needsID := "", false
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, value, err := parseField(line)
		switch {
		case err != nil:
			return err
		case name == "id":
			id = value
		case name != "" && name != "retry":
			needsID = true
		}
	}
	if id == "" {
		if needsID {
			return errEventNoID
		}
		return nil
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil || o.started && number <= o.last {
		return fmt.Errorf("%w: %.20q after %d", errEventOrder, id, o.last)
	}
	o.last, o.started = number, true
	return nil
}

// parseField splits a line of an event into the name and the value of its field; the name of a comment and of an empty line is empty.
// The error is errNoEvent.
func parseField(line []byte) (name, value string, err error) {
	if len(line) == 0 || line[0] == ':' {
		return "", "", nil
	}
	before, after, found := bytes.Cut(line, []byte(":"))
	if !found && string(line) != "data" || bytes.ContainsFunc(before, notInName) {
		return "", "", fmt.Errorf("%w: %.40q", errNoEvent, line)
	}
	return string(before), string(bytes.TrimSpace(after)), nil
}

// notInName reports whether a character does not occur in the names of fields.
func notInName(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' }
