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
	// ErrNotConnected means that no connection could be made: the request
	// cannot have run.
	ErrNotConnected = errors.New("target: connection refused")
	// ErrBroken means that the exchange failed after it had begun.
	ErrBroken = errors.New("target: exchange broken")
)

// Field is one HTTP header field with one value.
type Field struct{ Name, Value string }

// Request is one request to pass on.
type Request struct {
	Method string
	URI    string
	Header []Field
	Body   io.Reader // nil if there is none
	Length int64     // of the body in bytes; -1 if not known
}

// Client passes requests on to one target.
type Client struct {
	base string
	http httpc.Service
}

// NewClient returns a client for the target at the base URL.
func NewClient(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: httpclient.New("target")}
}

// Do sends the request and returns the answer with its body unread. The
// library would send some requests again on a broken idle connection, which
// could run them twice; Do prevents that.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	dialled := false
	ctx = withConnTrace(ctx, func() { dialled = true })
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.URI, noReplay(r.Body))
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
	case !dialled:
		return nil, errors.Wrap(ErrNotConnected, err.Error())
	}
	return nil, errors.Wrap(ErrBroken, err.Error())
}

// hopHeaders are the fields that concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEnd returns the header fields that are to be passed on.
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
