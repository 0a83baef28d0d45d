package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/internal/smallwindow"
	"gotest.tools/v3/assert"
)

// Guards against a request that waits on a kept connection behind the body of the request before, which the target
// has answered and not read.
func TestConnectionWithAnUnreadBodyIsNotReused(t *testing.T) {
	s := serveListener(smallwindow.Listen(t), func(n int64, nc net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprint(nc, response(requestID(r.Header), "early", ""))
		<-t.Context().Done()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*httpclient.DeliveryTimeout)
	defer cancel()
	p := NewPool(Config{})
	r := request("a")
	r.Body = bytes.Repeat([]byte("x"), 64<<10)
	resp, err := p.Do(ctx, s.addr, r, requestID)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp)
	assert.NilError(t, err)
	err = <-resp.sent // the kernel has the whole body
	assert.NilError(t, err)
	resp.sent <- nil
	resp.Close()
	got, err := do(ctx, p, s.addr, request("b"))
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
	assert.Equal(t, s.conns.Load(), int64(2))
}
