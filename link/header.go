package link

import (
	"net/http"
	"slices"
	"strings"
)

const headerPrefix = "Plumbarrow-"

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HopByHop reports whether a header name in its canonical form is hop-by-hop.
func HopByHop(name string) bool { return slices.Contains(hopByHop, name) }

// RequestHeader returns the part of a caller's header that is sent to endpoints. The caller's
// credentials authenticate it to the router only and are removed.
func RequestHeader(caller http.Header) http.Header {
	header := EndToEnd(caller)
	header.Del("Authorization")
	header.Del("Content-Length")
	header.Del("Expect")
	header.Del("Host")
	return header
}

// EndToEnd returns a copy without hop-by-hop headers and without the router's own Plumbarrow- headers.
func EndToEnd(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
	return header
}
