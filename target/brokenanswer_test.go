package target

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// newRawClient returns a client of a target that answers on the connection itself.
func newRawClient(t *testing.T, answer func(nc *net.TCPConn, upload io.Reader)) *Client {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		answer(nc.(*net.TCPConn), buf)
	}))
	t.Cleanup(srv.Close)
	return NewClient(srv.URL)
}

// An answer that is not one may have been preceded by the execution of the request.
func TestInvalidHeadIsAFailedExchange(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 101 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"} {
		c := newRawClient(t, func(nc *net.TCPConn, _ io.Reader) { fmt.Fprint(nc, head+"\r\n4\r\nbody\r\n0\r\n\r\n") })
		resp, err := c.Do(t.Context(), Request{Method: http.MethodGet, URI: "/"})
		if err == nil {
			resp.Body.Close()
		}
		assert.ErrorIs(t, err, ErrExchangeFailed)
	}
}

// Guards against a part of an answer that is taken as whole because its connection was reset during the upload.
func TestAnswerResetDuringItsUploadIsNotWhole(t *testing.T) {
	const uploadBytes = 8 << 20 // exceeds what the sockets buffer
	c := newRawClient(t, func(nc *net.TCPConn, upload io.Reader) {
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\n\r\npart")
		_, _ = io.CopyN(io.Discard, upload, uploadBytes/8)
		_ = nc.SetLinger(0)
	})
	for range 8 { // either the read or the write receives the reset
		resp, err := c.Do(t.Context(), Request{Method: http.MethodPost, URI: "/", Body: bytes.NewReader(make([]byte, uploadBytes)), Length: uploadBytes})
		if err != nil {
			continue
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.Check(t, err != nil, "%q is a whole answer", b)
	}
}
