package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// unframedHandler answers with neither a length nor chunks, so that the answer ends with its
// connection.
func unframedHandler(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nSigned: by the target\r\n\r\n%s", body)
		_ = buf.Flush()
	}
}

func TestUnframedAnswersAreRelayedWhole(t *testing.T) {
	f := newTestGateway(t, newTarget(t, unframedHandler("all of it")))
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "b").body, "all of it")
	f = newTestGateway(t, newTarget(t, unframedHandler(wantEvents(3))))
	a := f.call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, wantEvents(3))
}

func TestUnframedStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	f := newTestGateway(t, newTarget(t, unframedHandler(wantEvents(2)+"id: 3\nda")), newTarget(t, streamHandler(4, 4)))
	a := f.call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, wantEvents(4))
}

// Guards against a target that ends after the header of an unframed stream, which looked like a
// complete stream without events.
func TestUnframedStreamWithoutEventsIsBroken(t *testing.T) {
	f := newTestGateway(t, newTarget(t, unframedHandler("")), newTarget(t, streamHandler(4, 4)))
	a := f.call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, wantEvents(4))

	f = newTestGateway(t, newTarget(t, unframedHandler("")))
	assert.Equal(t, f.call(http.MethodPost, "/stream/x", "b").status, http.StatusBadGateway)
}
