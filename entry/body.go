package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/verdict"
)

// fullRetryAfter is the Retry-After of a request for which the instance has no memory: requests in progress end within about a second.
const fullRetryAfter = time.Second

// readBody reads the request body, bounded by MaxBodyBytes and the body timeout.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	request := c.Request()
	if request.ContentLength > s.MaxBodyBytes {
		return nil, verdict.Refuse(verdict.BodyTooLarge, "the body is larger than %d bytes", s.MaxBodyBytes)
	}
	control := http.NewResponseController(c.Response().Writer)
	// The error is ignored: forwarded requests and test recorders have no connection.
	_ = control.SetReadDeadline(time.Now().Add(s.Settings.bodyTimeout()))
	body, err := intake.ReadBody(intake.FromContext(request.Context()), request, s.MaxBodyBytes)
	if err != nil {
		c.Response().Header().Set(echo.HeaderConnection, "close")
		return nil, s.bodyError(err)
	}
	// net/http keeps reading to detect a disconnect; that background read must not time out.
	_ = control.SetReadDeadline(time.Time{})
	exchangeOf(c).bodyRead = true
	return body, nil
}

func (s *Server) bodyError(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return verdict.Refuse(verdict.BodyTooLarge, "the body is larger than %d bytes", s.MaxBodyBytes)
	case errors.Is(err, intake.ErrHeadTooLarge):
		return verdict.Refuse(verdict.HeadTooLarge, "%v", err)
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrEvicted):
		refusal := verdict.Refuse(verdict.InstanceFull, "%v", err)
		refusal.RetryAfter = fullRetryAfter
		return refusal
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return verdict.Refuse(verdict.CallerTooSlow, "the body did not arrive in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.Is(err, context.Canceled),
		errors.As(err, &timeout), errors.Is(err, net.ErrClosed):
		return verdict.Refuse(verdict.CallerGone, "the body did not arrive whole")
	default:
		return verdict.Refuse(verdict.BadRequest, "the body can't be read: %v", err)
	}
}

// checkTarget refuses request paths that an endpoint may normalize differently from the router, which
// would reach a path that the route does not cover.
func checkTarget(request *http.Request) error {
	target := request.URL.Path
	if strings.ContainsFunc(target, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }) {
		return verdict.Refuse(verdict.BadRequest, "the path holds control characters or backslashes")
	}
	clean := path.Clean("/" + target)
	if strings.HasSuffix(target, "/") && clean != "/" {
		clean += "/"
	}
	if clean != target {
		return verdict.Refuse(verdict.BadRequest, "the path holds dot segments or empty segments")
	}
	return nil
}

// checkHeader refuses ambiguous headers, which the router and an endpoint may interpret differently.
// net/http has already refused invalid names and values, conflicting content lengths and unknown
// transfer encodings.
func checkHeader(request *http.Request) error {
	for _, name := range []string{"Content-Length", "Content-Type", "Host", "Idempotency-Key", "Authorization"} {
		if len(request.Header[name]) > 1 {
			return verdict.Refuse(verdict.BadRequest, "the header %s stands more than once", name)
		}
	}
	for _, values := range request.Header {
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return verdict.Refuse(verdict.BadRequest, "a header value holds a line break")
			}
		}
	}
	return nil
}
