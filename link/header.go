package link

import (
	"net/http"
	"slices"
	"strings"
)

const headerPrefix = "Plumbarrow-"

// hopByHop headers belong to one connection (RFC 9110, 7.6.1). The caller's credentials are for
// the router and stay with it.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HopByHop says whether a header, in its canonical form, belongs to one connection.
func HopByHop(name string) bool { return slices.Contains(hopByHop, name) }

// RequestHeader returns the part of a caller's header that goes to endpoints.
func RequestHeader(caller http.Header) http.Header {
	header := EndToEnd(caller)
	header.Del("Authorization")
	header.Del("Content-Length")
	header.Del("Expect")
	header.Del("Host")
	return header
}

// EndToEnd returns a copy without hop-by-hop headers and without the router's own.
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
