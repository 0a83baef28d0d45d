package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The HTTP client must not send a request a second time when the target closes
// an idle connection, regardless of the method and headers.
func TestRequestIsSentAtMostOnce(t *testing.T) {
	var requests atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/break" {
			requests.Add(1)
			conn, _, err := w.(http.Hijacker).Hijack()
			assert.Check(t, err == nil)
			conn.Close()
		}
	}))
	defer srv.Close()
	c := NewClient(srv.URL)
	for _, r := range []Request{
		{Method: http.MethodGet, URI: "/break"},
		{Method: http.MethodPost, URI: "/break", Header: []Field{{"Idempotency-Key", "k"}}},
		{Method: http.MethodDelete, URI: "/break"},
	} {
		requests.Store(0)
		resp, err := c.Do(context.Background(), Request{Method: http.MethodGet, URI: "/"})
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close() // leaves an idle connection
		_, err = c.Do(context.Background(), r)
		assert.ErrorIs(t, err, ErrExchangeFailed)
		assert.Equal(t, requests.Load(), int64(1), r.Method)
	}
}

func TestRefusedConnectionReturnsErrNotConnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln.Close()
	_, err = NewClient("http://"+ln.Addr().String()).Do(context.Background(), Request{Method: http.MethodGet, URI: "/"})
	assert.ErrorIs(t, err, ErrNotConnected)
}

func TestEndToEnd(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Kept": {"a", "b"}}
	assert.DeepEqual(t, EndToEnd(h), []Field{{"X-Kept", "a"}, {"X-Kept", "b"}})
}

func TestFenceOrder(t *testing.T) {
	early, late := Incarnation(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), Incarnation(time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))
	assert.Assert(t, early < late)
	assert.Assert(t, Fence(6, early) > Fence(5, late), "an older revision must have a lower token, regardless of the incarnation")
	assert.Assert(t, Fence(5, late) > Fence(5, early))
}

func TestLoadoutIDDependsOnContent(t *testing.T) {
	a := Loadout{Role: "mixed"}
	b := Loadout{Role: "decode"}
	assert.Assert(t, a.ID() != b.ID())
	assert.Equal(t, a.ID(), Loadout{Role: "mixed"}.ID())
}
