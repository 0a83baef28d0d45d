package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// startServer starts a server with a gateway in front of one target.
func startServer(t *testing.T, cfg ServerConfig, x *target) *Server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg.CallerAddr, cfg.ReadyAddr = freeAddr(t), freeAddr(t)
	s := NewServer(cfg, newTestGateway(t, x).gateway, log)
	assert.NilError(t, s.Start(t.Context()))
	return s
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func get(ctx context.Context, addr string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/safe/x", nil)
	if err != nil {
		return nil, err
	}
	r.Host = "h.example"
	r.Header.Set("Key", "secret")
	return http.DefaultClient.Do(r)
}

// A request accepted before the drain is answered before the server stops, and none is
// accepted after AcceptFor.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	x := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		okHandler(w, r)
	})
	s := startServer(t, ServerConfig{DrainTimeout: time.Minute, AcceptFor: time.Millisecond}, x)
	answered := make(chan int, 1)
	go func() {
		resp, err := get(t.Context(), s.cfg.CallerAddr)
		if err != nil {
			answered <- 0
			return
		}
		defer resp.Body.Close()
		answered <- resp.StatusCode
	}()
	<-started
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.Drain()
	}()
	for { // until the listener is closed
		nc, err := net.Dial("tcp", s.cfg.CallerAddr)
		if err != nil {
			break
		}
		nc.Close()
	}
	close(release)
	assert.Equal(t, <-answered, http.StatusOK)
	<-drained
}

func TestReadiness(t *testing.T) {
	s := startServer(t, ServerConfig{}, newTarget(t, okHandler))
	status := func() int {
		resp, err := get(t.Context(), s.cfg.ReadyAddr)
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	assert.Equal(t, status(), http.StatusOK)
	s.gateway.Drain(time.Now().Add(time.Minute))
	assert.Equal(t, status(), http.StatusServiceUnavailable)
}

// On the platform a request sent 3 s after the signal must be answered completely however
// long it runs; streams there last up to 5 s of the 8 s allowed.
func TestRequestsAreAcceptedOnlyIfTheyCanFinish(t *testing.T) {
	cfg := ServerConfig{}.applyDefaults()
	assert.Assert(t, cfg.AcceptFor < 3*time.Second)
	assert.Assert(t, cfg.AcceptFor > 2*time.Second, "the load balancer still sends connections")
}
