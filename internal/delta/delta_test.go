package delta

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEncode checks sizes, the round trip, and that a wrong base is detected.
func TestEncode(t *testing.T) {
	c := qt.New(t)
	base := []byte(strings.Repeat("some text that repeats ", 40_000))
	document := bytes.Clone(base)
	copy(document[len(document)/2:], "changed")
	for _, b := range [][]byte{nil, base} {
		data, err := Encode(document, b)
		c.Assert(err, qt.IsNil)
		c.Check(len(data) < len(document)/50, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
		decoded, err := Decode(data, b, len(document))
		c.Assert(err, qt.IsNil)
		c.Check(bytes.Equal(decoded, document), qt.IsTrue)
		_, err = Decode(data, b, len(document)/2)
		c.Check(errors.Is(err, ErrTooLarge), qt.IsTrue, qt.Commentf("%v", err))
		_, err = Decode(data[:len(data)/2], b, len(document))
		c.Check(err, qt.IsNotNil)
	}
	data, err := Encode(document, base)
	c.Assert(err, qt.IsNil)
	_, err = Decode(data, bytes.ToUpper(base), len(document))
	c.Check(err, qt.IsNotNil)
}
