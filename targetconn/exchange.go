package targetconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/httpclient"
)

// Errors of an exchange, that is, of sending one request and receiving its
// response. After any of them the target may have executed the request.
var (
	ErrSend            = errors.New("targetconn: request not sent completely")
	ErrNoReply         = errors.New("targetconn: no response")
	ErrInvalidResponse = errors.New("targetconn: invalid response")
)

// maxMismatched is the number of consecutive responses to other requests after
// which the connection is closed.
const maxMismatched = 4

// maxInlineBody is the largest body in bytes that is written before the
// response is read. A larger body is written concurrently, because the target
// may respond before it has read the body.
const maxInlineBody = 16 << 10

// Request is a request to a target.
type Request struct {
	Method string
	URI    string // path and query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
	ID     string // request ID that the response is expected to carry
}

// Response is the response of a target. Close must be called on it.
type Response struct {
	*http.Response
	conn     *Conn
	pool     *Pool
	stop     func() bool
	sent     chan error // result of a concurrent write of the body, or nil
	complete bool
	closed   bool
}

// IDFunc returns the request ID in the header of a response, or "" if it has none.
type IDFunc func(http.Header) string

// Do sends r to the target at addr and reads the header of the response.
// Cancelling ctx resets the connection, also while the body is read, so that
// the target stops processing the request.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, idOf IDFunc) (*Response, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	resp, err := c.roundTrip(r, idOf)
	if err != nil {
		stop()
		c.abort()
		return nil, err
	}
	resp.pool, resp.stop = p, stop
	return resp, nil
}

func (c *Conn) roundTrip(r *Request, idOf IDFunc) (*Response, error) {
	sent, err := c.send(r)
	if err != nil {
		return nil, errors.Wrap(ErrSend, err.Error())
	}
	for range maxMismatched {
		hr, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if id := idOf(hr.Header); id == "" || id == r.ID {
			return &Response{Response: hr, conn: c, sent: sent}, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(hr.Body, maxSkippedBytes))
		if err != nil {
			return nil, errors.Wrap(ErrInvalidResponse, err.Error())
		}
		if n == maxSkippedBytes {
			return nil, errors.Wrap(ErrInvalidResponse, "response to another request is too large")
		}
	}
	return nil, errors.Wrap(ErrInvalidResponse, "too many responses to other requests")
}

func (c *Conn) readHead(method string) (*http.Response, error) {
	c.head.beginHead()
	defer c.head.endHead()
	for {
		if _, err := c.br.Peek(1); err != nil {
			return nil, errors.Wrap(ErrNoReply, err.Error())
		}
		hr, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(ErrInvalidResponse, err.Error())
		}
		if hr.StatusCode/100 == 1 {
			continue
		}
		if err := httpclient.CheckHead(hr); err != nil {
			return nil, errors.Wrap(ErrInvalidResponse, err.Error())
		}
		return hr, nil
	}
}

// send writes the request. If the body is larger than maxInlineBody, it is
// written in the background and the result is sent on the returned channel.
func (c *Conn) send(r *Request) (chan error, error) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxInlineBody {
		b.Write(r.Body)
		_, err := c.nc.Write(b.Bytes())
		return nil, err
	}
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return nil, err
	}
	sent := make(chan error, 1)
	go func() {
		_, err := c.nc.Write(r.Body)
		sent <- err
	}()
	return sent, nil
}

// Read reads the body and records whether it was read completely.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is returned to the pool if the
// response was read completely and the target keeps the connection open.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	notCancelled := r.stop()
	switch {
	case !notCancelled || !r.complete:
		r.conn.abort()
	case !r.reusable():
		r.conn.nc.Close()
	default:
		r.pool.put(r.conn, keepAlive(r.Header))
	}
}

// Unframed reports whether the response has neither a length nor chunks, so that it ends with its
// connection.
func (r *Response) Unframed() bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

func (r *Response) reusable() bool {
	if r.Response.Close || r.Unframed() {
		return false
	}
	if r.sent == nil {
		return true
	}
	select {
	case err := <-r.sent:
		// A target may answer before it has read the body. The next request would wait behind it.
		return err == nil && r.conn.nc.Delivered()
	default:
		return false // the request body is still being written
	}
}

// keepAlive returns the idle timeout in the Keep-Alive header, or zero if there
// is none.
func keepAlive(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		if s, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") && s > 0 {
			return time.Duration(s * float64(time.Second))
		}
	}
	return 0
}
