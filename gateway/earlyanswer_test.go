package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

// uploadBytes exceeds what the sockets buffer, so that a target can answer while its request is being written.
const uploadBytes = 8 * mib

// newRawTarget returns a target that answers on the connection itself, before it has read the body of the request.
func newRawTarget(t *testing.T, answer func(nc *net.TCPConn, upload io.Reader)) *target {
	x := &target{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		answer(nc.(*net.TCPConn), io.LimitReader(buf, uploadBytes))
	}))}
	t.Cleanup(x.Close)
	return x
}

// allowUploads lets requests have bodies of uploadBytes.
func (f *testGateway) allowUploads() *testGateway {
	f.t.Helper()
	assert.Assert(f.t, f.gateway.SetConfig(fleet.NewConfig(2, routes(), []*fleet.Service{{Name: "s"}}, map[string]*fleet.Team{"secret": {Name: "blue"}},
		fleet.Limits{BodyBytes: uploadBytes})))
	return f
}

const signedHead = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: by the target\r\n"

func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// resetDuringUpload reads a part of the upload and resets the connection.
func resetDuringUpload(nc *net.TCPConn, upload io.Reader) {
	_, _ = io.CopyN(io.Discard, upload, 64*kib)
	_ = nc.SetLinger(0)
	nc.Close()
}

// cutAnswer answers without a length and resets the connection while the upload is being written.
func cutAnswer(body string) func(*net.TCPConn, io.Reader) {
	return func(nc *net.TCPConn, upload io.Reader) {
		fmt.Fprint(nc, signedHead+"\r\n"+body)
		resetDuringUpload(nc, upload)
	}
}

// resetRepetitions is how often a reset is tried: either the reader or the writer of a connection learns of it.
const resetRepetitions = 4

// Guards against a part of an answer that is passed on as a whole one. The kernel reports a reset once; if the
// write of the request gets it, the read of the answer sees an ordinary end.
func TestAnswerResetDuringItsUploadIsNotWhole(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for path, part := range map[string]string{"/safe/x": "part", "/unsafe/x": "part", "/stream/x": wantEvents(2)} {
		t.Run(path, func(t *testing.T) {
			f := newTestGateway(t, newRawTarget(t, cutAnswer(part))).allowUploads()
			for range resetRepetitions {
				a := f.call(http.MethodPost, path, upload)
				assert.Check(t, a.status != http.StatusOK || a.err != nil, "%.40q is a whole answer", a.body)
			}
		})
	}
}

// Another target completes what may be repeated.
func TestAnswerResetDuringItsUploadIsCompletedByAnotherTarget(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for path, c := range map[string]struct {
		part, want string
		other      http.HandlerFunc
	}{
		"/safe/x":   {"part", "done /safe/x", okHandler},
		"/stream/x": {wantEvents(2), wantEvents(4), streamHandler(4, 4)},
	} {
		t.Run(path, func(t *testing.T) {
			for range resetRepetitions {
				f := newTestGateway(t, newRawTarget(t, cutAnswer(c.part)), newTarget(t, c.other)).allowUploads()
				a := f.call(http.MethodPost, path, upload)
				assert.Check(t, a.err == nil, "%v", a.err)
				assert.Check(t, a.body == c.want, "%.40q", a.body)
			}
		})
	}
}

// An early answer that shows its end is whole, whatever becomes of its connection.
func TestWholeEarlyAnswerIsRelayed(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	for name, c := range map[string]struct {
		answer func(body string) string
		end    func(nc *net.TCPConn, upload io.Reader)
	}{
		"length, then a reset": {
			func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
			resetDuringUpload},
		"chunks, then a reset": {
			func(body string) string {
				return "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
			},
			resetDuringUpload},
		"closed after the upload": {
			func(body string) string { return "\r\n" + body },
			func(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }},
		"closed before the upload is read, then a reset": {
			func(body string) string { return "\r\n" + body },
			func(nc *net.TCPConn, upload io.Reader) {
				_ = nc.CloseWrite()
				resetDuringUpload(nc, upload)
			}},
	} {
		for path, body := range map[string]string{"/safe/x": "all of it", "/unsafe/x": "all of it", "/stream/x": wantEvents(3)} {
			t.Run(name+path, func(t *testing.T) {
				x := newRawTarget(t, func(nc *net.TCPConn, upload io.Reader) {
					fmt.Fprint(nc, signedHead+c.answer(body))
					c.end(nc, upload)
				})
				f := newTestGateway(t, x).allowUploads()
				for range resetRepetitions {
					a := f.call(http.MethodPost, path, upload)
					assert.Check(t, a.err == nil, "%v", a.err)
					assert.Check(t, a.status == http.StatusOK && a.body == body, "%d %.40q", a.status, a.body)
				}
			})
		}
	}
}
