package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/springgate/springgate/internal/smallwindow"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a server that reads nothing for a while in the middle of an upload and loses its connection.
func TestServerThatPausesReadingReceivesTheWholeUpload(t *testing.T) {
	for _, pause := range []time.Duration{DeliveryTimeout + 600*time.Millisecond, DeliveryTimeout + 2*time.Second} {
		for _, size := range []int{20 << 10, 200 << 10, 3 << 20} {
			t.Run(fmt.Sprint(pause, " ", size), func(t *testing.T) {
				t.Parallel()
				addr := serveListener(smallwindow.Listen(t), func(nc *net.TCPConn) {
					r, err := http.ReadRequest(bufio.NewReaderSize(nc, 1<<10))
					if err != nil {
						return
					}
					<-time.After(pause)
					n, err := io.Copy(io.Discard, r.Body)
					if err == nil {
						fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%d", n)
					}
				})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+addr, bytes.NewReader(make([]byte, size)))
				assert.NilError(t, err)
				resp, err := New("test").DoRequest(req)
				assert.NilError(t, err)
				b, err := ReadAll(resp, 100)
				assert.NilError(t, err)
				assert.Equal(t, string(b), fmt.Sprint(size))
			})
		}
	}
}

// A server that never reads on is bounded by the time of its request.
func TestServerThatStopsReadingIsBoundedByItsRequest(t *testing.T) {
	addr := serveListener(smallwindow.Listen(t), func(nc *net.TCPConn) { <-t.Context().Done() })
	ctx, cancel := context.WithTimeout(t.Context(), DeliveryTimeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr, bytes.NewReader(make([]byte, uploadBytes)))
	assert.NilError(t, err)
	_, err = New("test").DoRequest(req)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// vanish makes the kernel drop all that arrives on a connection, so that the peer gets no answer of any kind.
func vanish(nc *net.TCPConn) error {
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	raw, err := nc.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Guards against a server that vanishes, with its window open or closed, and is taken for one that reads slowly: what was
// sent to it must be dropped long before the request's time is over.
func TestVanishedServerIsFound(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"while data is on its way":       0,
		"soon after its window closed":   300 * time.Millisecond,
		"before the timeout is extended": 2 * time.Second,
		"after the timeout was extended": DeliveryTimeout + time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vanished := make(chan error, 1)
			addr := serveListener(smallwindow.Listen(t), func(nc *net.TCPConn) {
				<-time.After(pause)
				vanished <- vanish(nc)
				<-t.Context().Done()
			})
			c := dialTest(t, addr)
			if pause == 0 {
				assert.NilError(t, <-vanished)
			}
			_, err := c.Write(make([]byte, 64<<10))
			assert.NilError(t, err)
			if pause != 0 {
				assert.NilError(t, <-vanished)
			}
			start := time.Now()
			assert.NilError(t, c.SetReadDeadline(start.Add(2*DeliveryTimeout)))
			_, err = c.Read(make([]byte, 1))
			assert.ErrorIs(t, err, syscall.ETIMEDOUT)
			t.Log("found after", time.Since(start))
		})
	}
}
