package targetconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer without a length that counts as complete although its connection was reset: the write of
// the request body had taken the only report of the reset.
func TestResetThatTheWriteReceivesIsNoEndOfTheResponse(t *testing.T) {
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", idHeader, requestID(r.Header))
		assert.Check(t, nc.(*net.TCPConn).SetLinger(0) == nil)
	})
	r := request("a")
	r.Body = bytes.Repeat([]byte("x"), 32<<20) // exceeds the socket buffers
	resp, err := NewPool(Config{}).Do(t.Context(), s.addr, r, requestID)
	assert.NilError(t, err)
	defer resp.Close()
	assert.Assert(t, errors.Is(<-resp.sent, syscall.ECONNRESET))
	_, err = io.ReadAll(resp)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
