package targetconn

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/springgate/springgate/clock/clocktest"
	"gotest.tools/v3/assert"
)

// The idle time of a connection must include the time that the machine was suspended.
// Otherwise a request is sent on a connection that the target has already closed, and one
// that must not be repeated fails with status 502.
func TestIdleConnectionsExpireDuringSuspension(t *testing.T) {
	machine := clocktest.New(t)
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		for {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			fmt.Fprint(nc, response(requestID(r.Header), "ok"))
		}
	})
	p := NewPool(Config{IdleTimeout: 2 * time.Second})
	for n, d := range []time.Duration{0, 3 * time.Second, 10 * time.Second, 60 * time.Second} {
		machine.Suspend(d)
		_, err := do(t.Context(), p, s.addr, request("a"))
		assert.NilError(t, err)
		assert.Check(t, s.conns.Load() == int64(n+1), "%d connections after a suspension of %v", s.conns.Load(), d)
	}
	machine.Suspend(time.Minute)
	p.Sweep(func(string) bool { return true })
	assert.Check(t, len(p.idle) == 0)
}
