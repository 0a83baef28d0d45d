package httpclient

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// sendEndlessly starts a server that answers a request with first and then repeats a text until the caller closes
// or it has sent limit bytes. The returned function ends the server and returns how many bytes it has repeated.
func sendEndlessly(t *testing.T, first, repeated string, limit int) (addr string, sent func() int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var n atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		_, err = fmt.Fprint(conn, first)
		chunk := []byte(strings.Repeat(repeated, 1+(32<<10)/max(len(repeated), 1)))
		for err == nil && n.Load() < int64(limit) {
			var written int
			written, err = conn.Write(chunk)
			n.Add(int64(written))
		}
	}()
	return ln.Addr().String(), func() int64 {
		ln.Close()
		<-done
		return n.Load()
	}
}

// Guards against a server that sends a head without end, which each call kept in memory up to 10 MB.
func TestEndlessHeadIsNotKept(t *testing.T) {
	const accepted = 4 << 20 // with what the kernel buffers
	for name, c := range map[string]struct{ first, repeated string }{
		"no line break":     {"", "x"},
		"one header field":  {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"many fields":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, sent := sendEndlessly(t, c.first, c.repeated, 64<<20)
			resp, err := New("test").Do(t.Context(), http.MethodGet, "http://"+addr, nil)
			if err == nil {
				resp.Body.Close()
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, sent() < accepted, "%d bytes sent", sent())
		})
	}
}

// Guards against a bound on heads that refuses those which the platform may send.
func TestLargeHeadIsRead(t *testing.T) {
	large := strings.Repeat("h", maxHeadBytes/2)
	addr, sent := sendEndlessly(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nLarge: "+large+"\r\n\r\nhello", "", 0)
	defer sent()
	resp, err := New("test").Do(t.Context(), http.MethodGet, "http://"+addr, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Large"), large)
	b, err := ReadAll(resp, 100)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "hello")
}
