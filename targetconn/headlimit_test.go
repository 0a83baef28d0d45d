package targetconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against targets that send bytes without end, which an entry reads into memory until it exceeds that
// of its host.
func TestEndlessBytesOfATargetAreNotRead(t *testing.T) {
	const most = maxSkippedBytes + 4*maxHeadBytes // beside what the kernel buffers
	filler := bytes.Repeat([]byte("x"), 32<<10)
	for name, c := range map[string]struct{ first, repeated string }{
		"no line break":         {"", string(filler)},
		"header without end":    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header field":      {"HTTP/1.1 200 OK\r\nA: ", string(filler)},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body of another":       {"HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\n\r\n", string(filler)},
		"chunks of another":     {"HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
		"chunk without a break": {"HTTP/1.1 200 OK\r\n" + idHeader + ": another\r\nTransfer-Encoding: chunked\r\n\r\n", string(filler)},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
				if _, _, ok := readRequest(br); !ok {
					return
				}
				assert.NilError(t, nc.(*net.TCPConn).SetWriteBuffer(64<<10))
				_, err := fmt.Fprint(nc, c.first)
				chunk := []byte(strings.Repeat(c.repeated, 1+len(filler)/len(c.repeated)))
				for err == nil && sent.Load() < 100*most {
					var n int
					n, err = nc.Write(chunk)
					sent.Add(int64(n))
				}
			})
			_, err := do(t.Context(), NewPool(Config{}), s.addr, request("id"))
			assert.Assert(t, errors.Is(err, ErrInvalidResponse), "%v", err)
			s.wg.Wait()
			assert.Assert(t, sent.Load() < 20*most, "%d bytes sent", sent.Load())
		})
	}
}

// A response whose head and interim responses stay within the bound is read, whatever came before on its
// connection.
func TestLargeHeadsWithinTheBoundAreRead(t *testing.T) {
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		for {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			fmt.Fprint(nc, "HTTP/1.1 100 Continue\r\n\r\n"+response(requestID(r.Header), strings.Repeat("b", 200<<10), "Large: "+strings.Repeat("h", maxHeadBytes/2)+"\r\n"))
		}
	})
	p := NewPool(Config{})
	for i := range 4 {
		got, err := do(t.Context(), p, s.addr, request(fmt.Sprint("id", i)))
		assert.NilError(t, err)
		assert.Equal(t, len(got), 200<<10)
	}
	assert.Equal(t, s.conns.Load(), int64(1))
}

// Guards against a target whose head has very many short fields, which take sixteen times their bytes when parsed.
func TestHeadOfVeryManyFieldsIsRefused(t *testing.T) {
	for fields, accepted := range map[int]bool{maxHeadLines / 2: true, 8 * maxHeadLines: false} {
		s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			var head strings.Builder
			for i := range fields {
				fmt.Fprintf(&head, "%x:\r\n", i)
			}
			assert.Assert(t, head.Len() < maxHeadBytes)
			// The error is ignored: the connection is closed while the head is sent.
			_, _ = fmt.Fprint(nc, response(requestID(r.Header), "\n\n\n", head.String()))
		})
		_, err := do(t.Context(), NewPool(Config{}), s.addr, request("id"))
		assert.Equal(t, err == nil, accepted, "%d fields: %v", fields, err)
		assert.Assert(t, accepted || errors.Is(err, ErrInvalidResponse))
		s.wg.Wait()
	}
}

// A body of many lines that arrives with its head is none of it.
func TestLinesOfABodyAreNoneOfItsHead(t *testing.T) {
	body := strings.Repeat("\n", 2*maxHeadLines)
	s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
		for {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			fmt.Fprint(nc, response(requestID(r.Header), body, ""))
		}
	})
	p := NewPool(Config{})
	for i := range 3 {
		got, err := do(t.Context(), p, s.addr, request(fmt.Sprint("id", i)))
		assert.NilError(t, err)
		assert.Equal(t, string(got), body)
	}
	assert.Equal(t, s.conns.Load(), int64(1))
}

// Guards against framing without end in the body of a response that is relayed.
func TestEndlessFramingOfABodyIsNotRead(t *testing.T) {
	const most = 4 << 20 // with what the kernel buffers
	filler := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct{ first, repeated string }{
		"size of a chunk":      {"", strings.Repeat("0", 32<<10)},
		"extension of a chunk": {"5;", filler},
		"many extensions":      {"", strings.Repeat("1;"+filler[:1<<10]+"\r\nx\r\n", 32)},
		"field of a trailer":   {"0\r\nA: ", filler},
		"fields of a trailer":  {"0\r\n", strings.Repeat("A: b\r\n", 5<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			s := serve(t, func(_ int64, nc net.Conn, br *bufio.Reader) {
				r, _, ok := readRequest(br)
				if !ok {
					return
				}
				assert.NilError(t, nc.(*net.TCPConn).SetWriteBuffer(64<<10))
				_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s", idHeader, requestID(r.Header), c.first)
				for err == nil && sent.Load() < 16*most {
					var n int
					n, err = fmt.Fprint(nc, c.repeated)
					sent.Add(int64(n))
				}
			})
			_, err := do(t.Context(), NewPool(Config{}), s.addr, request("id"))
			assert.Assert(t, err != nil)
			s.wg.Wait()
			assert.Assert(t, sent.Load() < most, "%d bytes sent", sent.Load())
		})
	}
}
