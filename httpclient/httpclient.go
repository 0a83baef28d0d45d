// Package httpclient provides the HTTP clients for external services and engines, based on
// go-zero's httpc. Its circuit breaker is disabled because it rejects calls
// without recording them in this project's counters.
package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/bounded"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Transport settings.
const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 90 * time.Second
	idleConnsPerHost = 64
	// shortIdleTimeout is how long a client made by NewShortIdle keeps an idle connection:
	// long enough for the next of several consecutive calls.
	shortIdleTimeout = 300 * time.Millisecond
	// shortIdleDialTimeout is the dial timeout of a client made by NewShortIdle; the longest
	// round trip to its server is 6 ms.
	shortIdleDialTimeout = 500 * time.Millisecond
	// maxHeadBytes bounds the head of a response with the interim responses before it: a faulty server
	// may send one without end.
	maxHeadBytes = 64 << 10
)

// Errors returned by ReadAll.
var (
	ErrTooLarge = errors.New("httpclient: response exceeds the size limit")
	ErrNotFound = errors.New("httpclient: not found")
	ErrStatus   = errors.New("httpclient: unexpected status")
)

// New returns a client whose calls are logged under name.
func New(name string) httpc.Service {
	return newService(name, newTransport(dialTimeout, idleTimeout))
}

// NewShortIdle is like New, for a server that limits the total number of connections from
// all clients: idle connections are closed early so that they do not exclude other clients.
// This also limits how many connections the server still counts if the client's host loses
// power: the server keeps such connections open for a long time.
func NewShortIdle(name string) httpc.Service {
	return newService(name, newTransport(shortIdleDialTimeout, shortIdleTimeout))
}

func newService(name string, t *http.Transport) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, &http.Client{Transport: checkedTransport{t}})
}

// newTransport returns a transport that reuses connections, ignores proxy settings, does not
// decompress bodies and bounds heads.
func newTransport(dial, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dialFunc(dial),
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// dialFunc returns a dial function for a transport.
func dialFunc(timeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := Dial(ctx, addr, timeout)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// ThrottledError is returned for status 429 and for 503 with a Retry-After. RetryAfter is the
// time to wait before the next call.
type ThrottledError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *ThrottledError) Error() string {
	return "httpclient: throttled, retry after " + e.RetryAfter.String()
}

// defaultRetryAfter is used if a 429 has no valid Retry-After.
const defaultRetryAfter = time.Second

// ReadAll returns the body of a 200 response of at most limit bytes and returns an error for
// any other response. It closes the body.
func ReadAll(resp *http.Response, limit int64) ([]byte, error) { return ReadWithin(nil, resp, limit) }

// ReadWithin is like ReadAll, within a budget for the bodies that are read at the same time.
func ReadWithin(budget *bounded.Budget, resp *http.Response, limit int64) ([]byte, error) {
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
	if resp.ContentLength > limit {
		return nil, ErrTooLarge
	}
	return readBody(resp, limit, budget)
}

// readBody reads a body of at most limit bytes.
func readBody(resp *http.Response, limit int64, budget *bounded.Budget) ([]byte, error) {
	length := resp.ContentLength
	if budget == nil {
		length = -1 // so that a length alone takes no memory
	}
	first := bounded.FirstBuffer(length)
	if !budget.Grow(first) {
		return nil, bounded.ErrNoMemory
	}
	b, err := bounded.ReadAll(io.LimitReader(resp.Body, limit+1), first, limit+1, budget)
	budget.Shrink(int64(cap(b)))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "httpclient: read response body")
	case int64(len(b)) > limit:
		return nil, ErrTooLarge
	}
	return b, nil
}
