package httpclient

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadBytes exceeds what the sockets buffer.
const uploadBytes = 8 << 20

// serveConns passes each connection to a function until the test ends.
func serveConns(t *testing.T, handle func(*net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	return serveListener(ln, handle)
}

// serveListener passes each connection to a function until the listener is closed.
func serveListener(ln net.Listener, handle func(*net.TCPConn)) (addr string) {
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				handle(nc.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}

func dialTest(t *testing.T, addr string) *Conn {
	t.Helper()
	c, err := Dial(t.Context(), addr, 10*time.Second)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// The kernel reports a reset once. A read after a write that has received it must not see an ordinary end.
func TestResetThatAWriteReceivesIsNoEnd(t *testing.T) {
	c := dialTest(t, serveConns(t, func(nc *net.TCPConn) {
		_, _ = nc.Read(make([]byte, 1))
		fmt.Fprint(nc, "part")
		_ = nc.SetLinger(0)
	}))
	_, err := c.Write(make([]byte, uploadBytes))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	b, err := io.ReadAll(c)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, string(b), "part")
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// A peer that closes its side in order has said all, even if it does not read what is still being written.
func TestOrderlyEndDoesNotWaitForAWrite(t *testing.T) {
	read := make(chan struct{})
	c := dialTest(t, serveConns(t, func(nc *net.TCPConn) {
		fmt.Fprint(nc, "whole")
		_ = nc.CloseWrite()
		<-read
	}))
	defer close(read)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, uploadBytes))
		written <- err
	}()
	b, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "whole")
	c.Close()
	assert.Assert(t, <-written != nil)
}

// A reset that follows an orderly end does not undo it.
func TestResetAfterAnOrderlyEndIsAnEnd(t *testing.T) {
	c := dialTest(t, serveConns(t, func(nc *net.TCPConn) {
		_, _ = nc.Read(make([]byte, 1))
		fmt.Fprint(nc, "whole")
		_ = nc.CloseWrite()
		_ = nc.SetLinger(0)
	}))
	_, err := c.Write(make([]byte, uploadBytes))
	assert.ErrorIs(t, err, syscall.EPIPE)
	b, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "whole")
}

// Guards against a response that is cut by a reset and that a client takes as whole.
func TestResponseResetDuringItsUploadIsNotWhole(t *testing.T) {
	addr := serveConns(t, func(nc *net.TCPConn) {
		br := bufio.NewReader(nc)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\n\r\npart")
		_, _ = io.CopyN(io.Discard, br, uploadBytes/8)
		_ = nc.SetLinger(0)
	})
	for range 8 { // either the read or the write receives the reset
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+addr, bytes.NewReader(make([]byte, uploadBytes)))
		assert.NilError(t, err)
		resp, err := New("test").DoRequest(req)
		if err != nil {
			continue
		}
		b, err := ReadAll(resp, uploadBytes)
		assert.Check(t, err != nil, "%q is a whole response", b)
	}
}
