package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that stood still and runs requests whose callers have left.
func TestAbandonedExchangeResetsTheConnection(t *testing.T) {
	for name, answer := range map[string]string{
		"before the response": "",
		"within the response": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"invalid response":    "no response\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			received, abandoned, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
				_, _, _ = readRequest(br)
				fmt.Fprint(nc, answer)
				close(received)
				<-abandoned
				_, err := io.Copy(io.Discard, br)
				ended <- err
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-received
				cancel()
			}()
			_, err := do(ctx, NewPool(Config{}), s.addr, request("a"))
			assert.Assert(t, err != nil)
			close(abandoned)
			assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
		})
	}
}

func TestResponseThatIsNotReadResetsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		r, _, _ := readRequest(br)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, requestID(r.Header))
		_, err := io.Copy(io.Discard, br)
		ended <- err
	})
	resp, err := NewPool(Config{}).Do(t.Context(), s.addr, request("a"), requestID)
	assert.NilError(t, err)
	resp.Close()
	assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
