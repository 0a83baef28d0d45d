package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const idHeader = "Test-Id"

func requestID(h http.Header) string { return h.Get(idHeader) }

// server is a target that handles each connection with a function.
type server struct {
	addr  string
	conns atomic.Int64
	wg    sync.WaitGroup
}

// serve accepts connections until the test ends. n numbers them from 1.
func serve(t *testing.T, handle func(n int64, nc net.Conn, br *bufio.Reader)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	return serveListener(ln, handle)
}

// serveListener accepts connections until the listener is closed.
func serveListener(ln net.Listener, handle func(n int64, nc net.Conn, br *bufio.Reader)) *server {
	s := &server{addr: ln.Addr().String()}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			n := s.conns.Add(1)
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				defer nc.Close()
				handle(n, nc, bufio.NewReader(nc))
			}()
		}
	}()
	return s
}

// readRequest reads a request and its body. It returns false if the connection
// has no further complete request.
func readRequest(br *bufio.Reader) (*http.Request, []byte, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, nil, false
	}
	b, err := io.ReadAll(r.Body)
	return r, b, err == nil
}

func response(id, body string, more ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", idHeader, id, len(body), strings.Join(more, ""), body)
}

func request(id string) *Request {
	return &Request{Method: http.MethodPost, URI: "/a%2Fb/?q=1", Host: "host.example", ID: id, Body: []byte("body of " + id),
		Header: http.Header{idHeader: {id}}}
}

// do sends a request and returns the body of the response.
func do(ctx context.Context, p *Pool, addr string, r *Request) (string, error) {
	resp, err := p.Do(ctx, addr, r, requestID)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	return string(b), err
}

func TestRequestIsSentUnchanged(t *testing.T) {
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		for {
			r, body, ok := readRequest(br)
			if !ok {
				return
			}
			fmt.Fprint(nc, response(requestID(r.Header), r.Method+" "+r.RequestURI+" "+r.Host+" "+string(body)))
		}
	})
	p := NewPool(Config{})
	for i := range 3 {
		id := fmt.Sprint("id", i)
		got, err := do(t.Context(), p, s.addr, request(id))
		assert.NilError(t, err)
		assert.Equal(t, got, "POST /a%2Fb/?q=1 host.example body of "+id)
	}
	assert.Equal(t, s.conns.Load(), int64(1), "the connection must be reused")
}

// A duplicate response to the first request, sent before the response to the
// second, must not be returned for the second request.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		r, _, _ := readRequest(br)
		fmt.Fprint(nc, response(requestID(r.Header), "first"))
		r, _, ok := readRequest(br)
		if !ok {
			return
		}
		fmt.Fprint(nc, response("first", "duplicate")+response(requestID(r.Header), "second"))
	})
	p := NewPool(Config{})
	_, err := do(t.Context(), p, s.addr, request("first"))
	assert.NilError(t, err)
	got, err := do(t.Context(), p, s.addr, request("second"))
	assert.NilError(t, err)
	assert.Equal(t, got, "second")
}

// A connection that received bytes while it was idle must not be reused.
func TestConnectionWithUnexpectedBytesIsNotReused(t *testing.T) {
	stray := make(chan struct{})
	s := serve(t, func(n int64, nc net.Conn, br *bufio.Reader) {
		r, _, _ := readRequest(br)
		fmt.Fprint(nc, response(requestID(r.Header), fmt.Sprint("connection ", n)))
		if n == 1 {
			fmt.Fprint(nc, "stray")
			close(stray)
		}
		_, _, _ = readRequest(br)
	})
	p := NewPool(Config{})
	_, err := do(t.Context(), p, s.addr, request("a"))
	assert.NilError(t, err)
	<-stray
	got, err := do(t.Context(), p, s.addr, request("b"))
	assert.NilError(t, err)
	assert.Equal(t, got, "connection 2")
}

// If the target closes an idle connection while a request is sent on it, the
// request may have been executed and must not be retried.
func TestRequestIsNotRetried(t *testing.T) {
	var requests atomic.Int64
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		r, _, _ := readRequest(br)
		requests.Add(1)
		fmt.Fprint(nc, response(requestID(r.Header), "ok"))
		if _, _, ok := readRequest(br); ok {
			requests.Add(1)
		}
	})
	p := NewPool(Config{})
	_, err := do(t.Context(), p, s.addr, request("a"))
	assert.NilError(t, err)
	_, err = do(t.Context(), p, s.addr, request("b"))
	assert.ErrorIs(t, err, ErrNoReply)
	s.wg.Wait()
	assert.Equal(t, requests.Load(), int64(2))
}

func TestInvalidResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"truncated body":           "HTTP/1.1 200 OK\r\nTest-Id: a\r\nContent-Length: 100\r\n\r\nshort",
		"truncated chunk":          "HTTP/1.1 200 OK\r\nTest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"not HTTP":                 "garbage\r\n\r\n",
		"truncated header":         "HTTP/1.1 200 OK\r\nTest-",
		"empty":                    "",
		"other requests":           response("x", "1") + response("y", "2") + response("z", "3") + response("x", "4"),
		"truncated, other request": "HTTP/1.1 200 OK\r\nTest-Id: x\r\nContent-Length: 100\r\n\r\nshort",
	} {
		s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
			_, _, _ = readRequest(br)
			fmt.Fprint(nc, raw)
		})
		_, err := do(t.Context(), NewPool(Config{}), s.addr, request("a"))
		assert.Assert(t, err != nil, name)
	}
}

func TestDialFailureReturnsErrDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln.Close()
	_, err = do(t.Context(), NewPool(Config{}), ln.Addr().String(), request("a"))
	assert.ErrorIs(t, err, ErrDial)
}

// A target may respond before it has read a long body. The connection must not
// be reused, because the rest of the body is still being written to it.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(n int64, nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprint(nc, response(requestID(r.Header), fmt.Sprint("connection ", n)))
		<-release
	})
	defer close(release)
	long := request("a")
	long.Body = bytes.Repeat([]byte("x"), 32<<20) // exceeds the socket buffers
	p := NewPool(Config{})
	got, err := do(t.Context(), p, s.addr, long)
	assert.NilError(t, err)
	assert.Equal(t, got, "connection 1")
	got, err = do(t.Context(), p, s.addr, request("b"))
	assert.NilError(t, err)
	assert.Equal(t, got, "connection 2")
}

// Cancelling the context must close the connection, so that the target stops
// processing the request.
func TestCancellationClosesConnection(t *testing.T) {
	got, closed := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ int64, _ net.Conn, br *bufio.Reader) {
		_, _, _ = readRequest(br)
		close(got)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	_, err := do(ctx, NewPool(Config{}), s.addr, request("a"))
	assert.Assert(t, err != nil)
	<-closed
}

func TestConnectionCloseHeaderIsHonored(t *testing.T) {
	for name, more := range map[string]string{"close": "Connection: close\r\n"} {
		s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
			for {
				r, _, ok := readRequest(br)
				if !ok {
					return
				}
				fmt.Fprint(nc, response(requestID(r.Header), "ok", more))
			}
		})
		p := NewPool(Config{})
		for _, id := range []string{"a", "b"} {
			_, err := do(t.Context(), p, s.addr, request(id))
			assert.NilError(t, err)
		}
		assert.Equal(t, s.conns.Load(), int64(2), name)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, timeout=2": 2 * time.Second,
		"": 0, "timeout=x": 0, "timeout=-1": 0} {
		assert.Equal(t, keepAlive(http.Header{"Keep-Alive": {value}}), want, value)
	}
}

func TestSweepClosesUnwantedConnections(t *testing.T) {
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		for {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			fmt.Fprint(nc, response(requestID(r.Header), "ok"))
		}
	})
	p := NewPool(Config{})
	_, err := do(t.Context(), p, s.addr, request("a"))
	assert.NilError(t, err)
	p.Sweep(func(string) bool { return true })
	assert.Equal(t, len(p.idle), 1)
	p.Sweep(func(string) bool { return false })
	assert.Equal(t, len(p.idle), 0)
}

// A response that is cut after any of its bytes is not complete.
func TestCutResponseIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Id: a\r\n"
	for _, raw := range []string{head + "Content-Length: 10\r\n\r\n0123456789", head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\na\r\n0123456789\r\n0\r\nSum: 1\r\n\r\n"} {
		for n := range len(raw) + 1 {
			s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
				_, _, _ = readRequest(br)
				fmt.Fprint(nc, raw[:n])
			})
			body, err := do(t.Context(), NewPool(Config{}), s.addr, request("a"))
			assert.Check(t, (err == nil) == (n == len(raw)), "cut after %q: %q, %v", raw[:n], body, err)
		}
	}
}
