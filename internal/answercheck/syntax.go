package answercheck

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// maxChunkDigits is the number of hexadecimal digits of the largest chunk, which an int64 holds.
const maxChunkDigits = 15

// head is what a head says about the bytes after it.
type head struct {
	status  int
	minor   byte  // version of the protocol is 1.minor
	length  int64 // of Content-Length; -1 without it
	chunked bool
}

// parseStatusLine accepts "HTTP/1.0" and "HTTP/1.1", a status from 100 to 599, and a reason, which may be missing.
func parseStatusLine(line []byte) (head, error) {
	text, minor := string(line), byte('1')
	rest, found := strings.CutPrefix(text, "HTTP/1.1 ")
	if !found {
		rest, found = strings.CutPrefix(text, "HTTP/1.0 ")
		minor = '0'
	}
	status, reason, _ := strings.Cut(rest, " ")
	if !found || len(status) != 3 || !isDigits(status) || !isValue([]byte(reason)) {
		return head{}, invalid("status line", line)
	}
	number, _ := strconv.Atoi(status)
	if !ValidStatus(number) {
		return head{}, invalid("status line", line)
	}
	return head{status: number, minor: minor, length: -1}, nil
}

// ValidStatus reports whether a number is a status of the protocol (RFC 9110, 15).
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// ValidField reports whether a field may be in an answer.
func ValidField(name, value string) bool { return isToken([]byte(name)) && isValue([]byte(value)) }

// parseField returns the field's name and its value without the blanks around it.
func parseField(line []byte) (name, value string, err error) {
	before, after, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(before) {
		return "", "", invalid("field name", line)
	}
	if !isValue(after) {
		return "", "", invalid("field value", line)
	}
	return string(before), string(bytes.Trim(after, " \t")), nil
}

// add records a field that says where the body ends.
func (h *head) add(name, value string) error {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || !isDigits(value) || h.length >= 0 && h.length != length {
			return invalid("Content-Length", []byte(value))
		}
		h.length = length
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return invalid("Transfer-Encoding", []byte(value))
		}
		h.chunked = true
	}
	return nil
}

// checkFraming returns an error for a head that leaves open where the body ends.
func (h *head) checkFraming() error {
	if h.chunked && (h.length >= 0 || h.minor == '0') {
		return invalid("Transfer-Encoding", []byte("with a length or HTTP/1.0"))
	}
	return nil
}

func (h *head) switches() bool { return h.status == http.StatusSwitchingProtocols }

func (h *head) informational() bool { return h.status < http.StatusOK && !h.switches() }

func (h *head) bodyless() bool {
	return h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

// parseChunkLine returns the size of a chunk.
func parseChunkLine(line []byte) (int64, error) {
	digits, extension, found := bytes.Cut(line, []byte(";"))
	if found {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if err != nil || len(digits) > maxChunkDigits || !isValue(extension) {
		return 0, invalid("chunk size", line)
	}
	return int64(size), nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// isToken reports whether the text is a token (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, b := range text {
		letter := b|0x20 >= 'a' && b|0x20 <= 'z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isValue reports whether the text has no control bytes other than tabs (RFC 9110, 5.5).
func isValue(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
