package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/httpclient"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against callers that read nothing for a while, within their time, and lose the rest of a stream
// that its target has ended.
func TestCallerThatStandsStillWithinItsTimeGetsTheWholeStream(t *testing.T) {
	const events = 40
	text := func(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 400)) }
	x := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "by the target")
		w.WriteHeader(http.StatusOK)
		for i := range events {
			_, _ = io.WriteString(w, text(i))
			w.(http.Flusher).Flush()
		}
	})
	f := newTestGateway(t, x)
	s := NewServer(ServerConfig{CallerAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0"}, f.gateway, logrus.New())
	assert.NilError(t, s.Start(t.Context()))
	c := dialWithLeastBuffer(t, s.callerAddr())
	defer c.Close()
	_, err := fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: secret\r\nLeft-Ms: 9000\r\nContent-Length: 1\r\n\r\nb")
	assert.NilError(t, err)
	<-time.After(httpclient.DeliveryTimeout + 700*time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, "%d bytes read", len(b))
	assert.Equal(t, len(b), len(text(10))*events-10)
}

// dialWithLeastBuffer connects with the least receive buffer that there is.
func dialWithLeastBuffer(t *testing.T, addr string) net.Conn {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := d.DialContext(context.Background(), "tcp", addr)
	assert.NilError(t, err)
	return c
}

// Guards against a caller that never reads and holds its request, and its target's connection, for good.
func TestCallerThatReadsNothingIsCutOffAfterItsTime(t *testing.T) {
	ended := make(chan struct{})
	x := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		w.Header().Set("Signed", "by the target")
		w.WriteHeader(http.StatusOK)
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	})
	f := newTestGateway(t, x)
	s := NewServer(ServerConfig{CallerAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0"}, f.gateway, logrus.New())
	assert.NilError(t, s.Start(t.Context()))
	c := dialWithLeastBuffer(t, s.callerAddr())
	defer c.Close()
	_, err := fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nKey: secret\r\nLeft-Ms: 300\r\nContent-Length: 1\r\n\r\nb")
	assert.NilError(t, err)
	<-ended
	for f.gateway.Inflight() > 0 {
		<-time.After(10 * time.Millisecond)
	}
}
