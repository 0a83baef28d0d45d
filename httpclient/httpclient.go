// Package httpclient makes the HTTP clients for the peers of the system, on
// go-zero's httpc. The library's circuit breaker is off, because it refuses
// calls without our counters.
package httpclient

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Limits of the transport.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	idleConnsPerHost = 64
	// briefIdle is how long a client made by NewBrief keeps an idle connection:
	// enough for the next of several calls in a row.
	briefIdle = 300 * time.Millisecond
	// briefDial bounds its connection attempts; the longest way there and back
	// takes 6 ms.
	briefDial = 500 * time.Millisecond
)

// Errors of a call.
var (
	ErrTooLarge = errors.New("httpclient: answer over the size limit")
	ErrNotFound = errors.New("httpclient: not found")
	ErrStatus   = errors.New("httpclient: unexpected status")
)

// New returns a client whose calls are logged under name.
func New(name string) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, &http.Client{Transport: Transport()})
}

// NewShortIdle is New for a server that counts the connections of all callers
// together: idle ones are closed soon, so that they do not keep others out.
// Those of a host that loses power stay open there for long.
func NewShortIdle(name string) httpc.Service {
	breaker.NoBreakerFor(name)
	t := Transport()
	t.DialContext = Dialer(briefDial).DialContext
	t.IdleConnTimeout = briefIdle
	return httpc.NewServiceWithClient(name, &http.Client{Transport: t})
}

// Transport returns a transport that keeps connections, follows no proxy
// settings and leaves bodies as they are.
func Transport() *http.Transport {
	return &http.Transport{
		DialContext:         Dialer(dialTimeout).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// ThrottledError is returned for status 429, and for 503 with Retry-After; it says how long to
// wait.
type ThrottledError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *ThrottledError) Error() string {
	return "httpclient: limited, retry after " + e.RetryAfter.String()
}

// defaultRetryAfter is used if a 429 names no time.
const defaultRetryAfter = time.Second

// ReadAll returns the body of a 200 answer of at most limit bytes and turns
// other answers into errors. It closes the body.
func ReadAll(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		d, ok := RetryAfter(resp.Header)
		if !ok && resp.StatusCode == http.StatusServiceUnavailable {
			return nil, errors.Wrapf(ErrStatus, "%d", resp.StatusCode)
		}
		if !ok {
			d = defaultRetryAfter
		}
		return nil, &ThrottledError{d}
	default:
		return nil, errors.Wrapf(ErrStatus, "%d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "httpclient: read")
	}
	if int64(len(b)) > limit {
		return nil, ErrTooLarge
	}
	return b, nil
}
