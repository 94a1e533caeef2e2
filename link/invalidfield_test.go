package link

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// invalidFields are lines that are no fields (RFC 9110, 5.1 and 5.5), each with its end.
var invalidFields = []string{
	"Content-Length : 2\r\n", "Content-Length\t: 2\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding\x01: chunked\r\n",
	"X Foo: 1\r\n", " X: 1\r\n", "\tX: 1\r\n", "X-Note: one\r\n two\r\n", "X-Note: one\r\n two: 2\r\n", "X\x00Y: 1\r\n", "X\x7fY: 1\r\n",
	"X\rY: 1\r\n", "X\x80: 1\r\n",
	"X\xc3\xa9: 1\r\n", "X(Y): 1\r\n", "X@Y: 1\r\n", "\"X\": 1\r\n", ": 1\r\n", "no colon\r\n", "X: a\x00b\r\n", "X: a\rb\r\n", "X: a\x1bb\r\n",
	"X: a\x7fb\r\n", "X: 1\n", "X: 1\r\r\n", "\n",
}

// TestInvalidFields guards against answers of faulty engines with a line in the head that is no field: callers got them with that line
// passed on, or with a body that ended elsewhere than the engine's.
func TestInvalidFields(t *testing.T) {
	for _, line := range invalidFields {
		t.Run(line, func(t *testing.T) {
			c := qt.New(t)
			checkNoAnswer(c, "HTTP/1.1 200 OK\r\n"+line+"Content-Length: 2\r\n\r\nhi")
			checkNoAnswer(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+line+"\r\nhi")
			checkNoAnswer(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n"+line+"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		})
	}
}

// TestInvalidTrailers guards against the same in the fields after a body in chunks.
func TestInvalidTrailers(t *testing.T) {
	for _, line := range invalidFields {
		t.Run(line, func(t *testing.T) {
			checkNoAnswer(qt.New(t), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\n"+line+"\r\n")
		})
	}
}

// TestInvalidFraming guards against bodies that end elsewhere than the engine's: the fields before them don't say one end.
func TestInvalidFraming(t *testing.T) {
	for name, fields := range map[string]string{
		"two lengths":            "Content-Length: 2\r\nContent-Length: 3\r\n",
		"list of lengths":        "Content-Length: 2, 2\r\n",
		"signed length":          "Content-Length: +2\r\n",
		"negative length":        "Content-Length: -2\r\n",
		"hexadecimal length":     "Content-Length: 0x2\r\n",
		"empty length":           "Content-Length:\r\n",
		"long length":            "Content-Length: 99999999999999999999\r\n",
		"length of digits, _":    "Content-Length: 2_0\r\n",
		"length and chunked":     "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
		"chunked and length":     "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
		"twice chunked":          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"list of chunked":        "Transfer-Encoding: chunked, chunked\r\n",
		"compressed and chunked": "Transfer-Encoding: gzip, chunked\r\n",
		"compressed":             "Transfer-Encoding: gzip\r\n",
		"identity":               "Transfer-Encoding: identity\r\n",
		"empty coding":           "Transfer-Encoding:\r\n",
		"coding with a byte":     "Transfer-Encoding: \x0bchunked\r\n",
		"chunked in 1.0":         "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			version := "HTTP/1.1"
			if strings.HasSuffix(name, "1.0") {
				version = "HTTP/1.0"
			}
			checkNoAnswer(qt.New(t), version+" 200 OK\r\n"+fields+"\r\n2\r\nhi\r\n0\r\n\r\n")
		})
	}
	for _, line := range []string{
		"+2\r\n", "-2\r\n", "0x2\r\n", " 2\r\n", "2 \r\n", "2 3\r\n", "\r\n", ";x\r\n", "2_\r\n", "2,\r\n", "2\n", "2\r\r\n",
		"2;\x00\r\n", "2;a\rb\r\n",
		"fffffffffffffffff\r\n", "7fffffffffffffff\r\n", "00000000000000000000002\r\n", "2\r\nh", "1\r\n",
	} {
		t.Run("chunk "+line, func(t *testing.T) {
			checkNoAnswer(qt.New(t), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+line+"hi\r\n0\r\n\r\n")
		})
	}
}
