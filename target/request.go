package target

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/httpclient"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Errors of a request to a target.
var (
	// ErrNotConnected means that no connection could be established, so the
	// target did not execute the request.
	ErrNotConnected = errors.New("target: connection failed")
	// ErrExchangeFailed means that the exchange failed on an established
	// connection, so the target may have executed the request.
	ErrExchangeFailed = errors.New("target: exchange failed")
)

// Field is an HTTP header field with a single value.
type Field struct{ Name, Value string }

// Request is a request to forward to a target.
type Request struct {
	Method string
	URI    string // path and query
	Header []Field
	Body   io.Reader // nil for no body
	Length int64     // length of the body in bytes; -1 if unknown
}

// Client forwards requests to one target.
type Client struct {
	base string
	http httpc.Service
}

// NewClient returns a client for the target at the base URL.
func NewClient(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: httpclient.New("target")}
}

// Do sends the request and returns the response with its body unread. The
// transport of net/http retries some requests if an idle connection turns out
// to be closed, so the target might execute them twice; Do prevents that.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	connected := false
	ctx = withConnTrace(ctx, func() { connected = true })
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.URI, noRetry(r.Body))
	if err != nil {
		return nil, errors.Wrap(ErrNotConnected, err.Error())
	}
	if r.Body != nil {
		req.ContentLength = r.Length
	}
	for _, f := range r.Header {
		req.Header.Add(f.Name, f.Value)
	}
	resp, err := c.http.DoRequest(req)
	switch {
	case err == nil:
		return resp, nil
	case !connected:
		return nil, errors.Wrap(ErrNotConnected, err.Error())
	}
	return nil, errors.Wrap(ErrExchangeFailed, err.Error())
}

// hopHeaders are the hop-by-hop header fields (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEnd returns the end-to-end header fields of h, which are to be forwarded.
func EndToEnd(h http.Header) []Field {
	drop := map[string]bool{}
	for _, n := range hopHeaders {
		drop[n] = true
	}
	for _, v := range h["Connection"] {
		for _, n := range strings.Split(v, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	var out []Field
	for n, vs := range h {
		if drop[n] {
			continue
		}
		for _, v := range vs {
			out = append(out, Field{n, v})
		}
	}
	return out
}
