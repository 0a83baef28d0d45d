package httpclient

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// expectInvalidHead checks that a client does not accept raw bytes as a response.
func expectInvalidHead(t *testing.T, raw string) {
	t.Helper()
	addr := serveConns(t, func(nc *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		fmt.Fprint(nc, raw)
	})
	resp, err := New("test").Do(t.Context(), http.MethodGet, "http://"+addr, nil)
	if err == nil {
		resp.Body.Close()
	}
	assert.Check(t, err != nil, "%q is a response", raw)
}

func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "-00", "+20", "099", "101", "600", "999"} {
		expectInvalidHead(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 4\r\n\r\nbody")
	}
}

// Guards against a response of another version of HTTP, whose framing the reader can only guess.
func TestOtherVersionIsNoResponse(t *testing.T) {
	for _, version := range []string{"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "HTTP/9.9"} {
		expectInvalidHead(t, version+" 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	}
}

func TestLaterMinorVersionIsRead(t *testing.T) {
	addr := serveConns(t, func(nc *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		fmt.Fprint(nc, "HTTP/1.9 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	})
	resp, err := New("test").Do(t.Context(), http.MethodGet, "http://"+addr, nil)
	assert.NilError(t, err)
	b, err := ReadAll(resp, 100)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "body")
}

func TestPossibleStatusIsReturned(t *testing.T) {
	for _, status := range []int{200, 299, 304, 421, 499, 500, 599} {
		assert.NilError(t, CheckHead(&http.Response{ProtoMajor: 1, StatusCode: status}))
	}
}

func TestImpossibleFieldNameIsNoResponse(t *testing.T) {
	for _, line := range []string{"Bad Name: x", "Name : x", "Na\tme: x", "Na\x00me: x", "Na\x01me: x", "Na\x7fme: x", ": x",
		"Content-Length : 2", "Transfer-Encoding : chunked"} {
		expectInvalidHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	}
}

// A head that is cut after any of its bytes is no response.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "HTTP/1.0 200 OK\r\nName: x\r\n\r\n"} {
		for n := range len(head) {
			expectInvalidHead(t, head[:n])
		}
	}
}
