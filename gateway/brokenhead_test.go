package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// newHeadTarget returns a target that answers with raw bytes and closes the connection.
func newHeadTarget(t *testing.T, raw string) *target {
	return newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		_, _ = io.WriteString(nc, raw)
	})
}

// expectNoAnswer checks that raw bytes are no answer to any request: another target completes what may be repeated,
// and the caller gets 502 otherwise, since the request may have run.
func expectNoAnswer(t *testing.T, raw string) {
	t.Helper()
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		f := newTestGateway(t, newHeadTarget(t, raw))
		a := f.call(http.MethodPost, path, "b")
		assert.Check(t, a.err == nil && a.status == http.StatusBadGateway, "%s, %q: %d %q, %v", path, raw, a.status, a.body, a.err)
		counted := f.gateway.stats.refused[ReasonInvalidResponse].Count() + f.gateway.stats.retried[ReasonInvalidResponse].Count()
		assert.Check(t, counted > 0, "%s, %q: %s", path, raw, a.body)
	}
	a := newTestGateway(t, newHeadTarget(t, raw), newTarget(t, okHandler)).call(http.MethodPost, "/safe/x", "b")
	assert.Check(t, a.err == nil && a.body == "done /safe/x", "%q: %d %q, %v", raw, a.status, a.body, a.err)
	a = newTestGateway(t, newHeadTarget(t, raw), newTarget(t, streamHandler(4, 4))).call(http.MethodPost, "/stream/x", "b")
	assert.Check(t, a.err == nil && a.body == wantEvents(4), "%q: %d %q, %v", raw, a.status, a.body, a.err)
}

// Guards against a status that does not exist, which was passed on or ended the handling of its request.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "-00", "+20", "020", "099", "101", "600", "999"} {
		expectNoAnswer(t, strings.Replace(signedHead, "200", status, 1)+"Content-Length: 4\r\n\r\nbody")
	}
}

// Guards against an answer in another version of HTTP, whose framing the reader can only guess.
func TestOtherVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/9.9"} {
		expectNoAnswer(t, strings.Replace(signedHead, "HTTP/1.1", version, 1)+"Content-Length: 4\r\n\r\nbody")
	}
}

// Guards against a field whose name is not one: it was dropped, also where it tells the length of the body.
func TestImpossibleFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range []string{"Bad Name: x", "Name : x", "Na\tme: x", "Na\x00me: x", "Na\x01me: x", "Na\x7fme: x", "Nam\u00e9: x", "Na\"me: x", ": x", "no colon", " folded: x"} {
		expectNoAnswer(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nId: r1\r\nSigned: by the target\r\nContent-Length: 4\r\n\r\nbody")
	}
	for _, framed := range []string{
		"Content-Length : 4\r\n\r\nbody and more",
		"Content-Length\t: 4\r\n\r\nbody and more",
		"Transfer-Encoding : chunked\r\n\r\n" + chunk(wantEvents(2)) + "0\r\n\r\n",
		"Transfer-Encoding\t: chunked\r\n\r\n" + chunk(wantEvents(2)) + "0\r\n\r\n",
	} {
		expectNoAnswer(t, signedHead+framed)
	}
}

// A head that is cut after any of its bytes is no answer.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{signedHead + "Content-Length: 10\r\n\r\n", strings.Replace(signedHead, "1.1", "1.0", 1) + "\r\n"} {
		for n := range len(head) {
			a := newTestGateway(t, newHeadTarget(t, head[:n])).call(http.MethodPost, "/unsafe/x", "b")
			assert.Check(t, a.err == nil && a.status == http.StatusBadGateway, "cut after %q: %d %q, %v", head[:n], a.status, a.body, a.err)
			a = newTestGateway(t, newHeadTarget(t, head[:n]), newTarget(t, streamHandler(4, 4))).call(http.MethodPost, "/stream/x", "b")
			assert.Check(t, a.err == nil && a.body == wantEvents(4), "cut after %q: %d %q, %v", head[:n], a.status, a.body, a.err)
		}
	}
}

// Other heads whose values or lengths the grammar does not allow.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for _, lines := range []string{"Value: a\x00b\r\nContent-Length: 4\r\n", "Value: a\rb\r\nContent-Length: 4\r\n",
		"Content-Length: 4\r\nContent-Length: 9\r\n", "Content-Length: +4\r\n", "Content-Length: -1\r\n", "Content-Length: 4,9\r\n", "Content-Length: 0x4\r\n",
		"Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"} {
		expectNoAnswer(t, signedHead+lines+"\r\nbody")
	}
}

// An answer of HTTP/1.0 in chunks, which that version does not have, is framed wrongly (RFC 9112, section 6.1).
func TestChunksOfHTTP10AreNoAnswer(t *testing.T) {
	expectNoAnswer(t, strings.Replace(signedHead, "1.1", "1.0", 1)+"Transfer-Encoding: chunked\r\n\r\n"+chunk(wantEvents(2))+"0\r\n\r\n")
}
