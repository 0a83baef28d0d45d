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
)

// Errors of an exchange. After each of them the target may have run the
// request.
var (
	ErrSend    = errors.New("targetconn: request not sent in full")
	ErrNoReply = errors.New("targetconn: no answer")
	ErrGarbled = errors.New("targetconn: not an answer to the request")
)

// maxStray is how many answers to other requests are skipped before the
// connection is given up.
const maxStray = 4

// inlineBody is the size up to which a body is sent before the answer is
// read. A larger one is sent meanwhile, since the target may answer first.
const inlineBody = 16 << 10

// Request is one request as it goes to a target.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	ID     string
}

// Response is the answer of a target. Its body must be closed.
type Response struct {
	*http.Response
	conn   *Conn
	pool   *Pool
	stop   func() bool
	sent   chan error // result of a body that is sent meanwhile, or nil
	whole  bool
	closed bool
}

// IDOf returns the id that an answer carries.
type IDOf func(http.Header) string

// Do sends r to the target at addr and reads the head of the answer. Ending
// ctx closes the connection, so that the target stops its work.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, idOf IDOf) (*Response, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	resp, err := c.roundTrip(r, idOf)
	if err != nil {
		stop()
		c.nc.Close()
		return nil, err
	}
	resp.pool, resp.stop = p, stop
	return resp, nil
}

func (c *Conn) roundTrip(r *Request, idOf IDOf) (*Response, error) {
	sent, err := c.send(r)
	if err != nil {
		return nil, errors.Wrap(ErrSend, err.Error())
	}
	for range maxStray {
		hr, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if id := idOf(hr.Header); id == "" || id == r.ID {
			return &Response{Response: hr, conn: c, sent: sent}, nil
		}
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			return nil, errors.Wrap(ErrGarbled, err.Error())
		}
	}
	return nil, errors.Wrap(ErrGarbled, "answers to other requests")
}

func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		if _, err := c.br.Peek(1); err != nil {
			return nil, errors.Wrap(ErrNoReply, err.Error())
		}
		hr, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(ErrGarbled, err.Error())
		}
		if hr.StatusCode/100 != 1 {
			return hr, nil
		}
	}
}

// send writes the request. A long body is written meanwhile, and its result
// comes over the channel.
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
	if len(r.Body) <= inlineBody {
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

// Read reads the body and notes whether it ended whole.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read in
// full and the target keeps it too.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	live := r.stop()
	if !live || !r.reusable() {
		r.conn.nc.Close()
		return
	}
	r.pool.put(r.conn, keepAlive(r.Header))
}

func (r *Response) reusable() bool {
	if !r.whole || r.Response.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return false
	}
	if r.sent == nil {
		return true
	}
	select {
	case err := <-r.sent:
		return err == nil
	default:
		return false // the body is still on its way
	}
}

// keepAlive returns the target's idle timeout, or zero if it names none.
func keepAlive(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		if s, err := strconv.ParseFloat(value, 64); err == nil && strings.EqualFold(name, "timeout") && s > 0 {
			return time.Duration(s * float64(time.Second))
		}
	}
	return 0
}
