package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

// newFrozenTarget returns the address of a target that stands still as soon as a request has begun
// to arrive, until resume is closed, and a channel with how the connection ended.
func newFrozenTarget(t *testing.T, arrived chan<- struct{}, resume <-chan struct{}) (addr string, ended <-chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	result := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.ReadFull(conn, make([]byte, 1))
		close(arrived)
		<-resume
		_, err = io.Copy(io.Discard, conn)
		result <- err
	}()
	return ln.Addr().String(), result
}

// newGatewayOfFrozenTarget returns a gateway whose preferred target stands still.
func newGatewayOfFrozenTarget(t *testing.T, resume <-chan struct{}, others ...*target) (f *testGateway, arrived <-chan struct{}, ended <-chan error) {
	t.Helper()
	began := make(chan struct{})
	addr, ended := newFrozenTarget(t, began, resume)
	f = newImpatientGateway(t, others...)
	list := []*fleet.Instance{{ID: "frozen", Service: "s", Addr: addr, Domain: "0", Slots: 100}}
	for _, x := range others {
		list = append(list, &fleet.Instance{ID: "other", Service: "s", Addr: x.addr(), Domain: "1", Slots: 100})
	}
	f.gateway.balancer.Apply(list, f.gateway.Config().Services)
	return f, began, ended
}

// Guards against a host that stands still and serves requests whose callers have left meanwhile.
func TestRequestAtAFrozenTargetIsResetWhenTheCallerLeaves(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			resume := make(chan struct{})
			f, arrived, ended := newGatewayOfFrozenTarget(t, resume)
			ctx, leave := context.WithCancel(t.Context())
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+path, nil)
			assert.NilError(t, err)
			r.Host = "h.example"
			r.Header.Set("Key", "secret")
			go func() {
				<-arrived
				leave()
			}()
			_, err = http.DefaultClient.Do(r)
			assert.ErrorIs(t, err, context.Canceled)
			f.server.Close()
			close(resume)
			assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
		})
	}
}

func TestRequestAtAFrozenTargetIsResetAtTheDeadline(t *testing.T) {
	resume := make(chan struct{})
	f, _, ended := newGatewayOfFrozenTarget(t, resume)
	assert.Equal(t, f.call(http.MethodGet, "/short/x", "").status, http.StatusGatewayTimeout)
	close(resume)
	assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

func TestRequestAtAFrozenTargetIsResetWhenAnotherHasAnswered(t *testing.T) {
	resume := make(chan struct{})
	f, _, ended := newGatewayOfFrozenTarget(t, resume, newTarget(t, okHandler))
	assert.Equal(t, f.call(http.MethodGet, "/safe/x", "").status, http.StatusOK)
	close(resume)
	assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
