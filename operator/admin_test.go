package operator

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against clients of the operators' listener whose heads together exceed the memory of the host.
func TestLargeHeadIsRefused(t *testing.T) {
	s, err := newAdminServer(func() bool { return true }, metrics.NewRegistry())
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer s.Close()
	go func() { _ = s.Serve(ln) }()
	for size, want := range map[int]int{32 << 10: http.StatusOK, 128 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		go func() {
			_, _ = c.Write([]byte("GET " + PathMetrics + " HTTP/1.1\r\nHost: h\r\nLarge: " + strings.Repeat("h", size) + "\r\n\r\n"))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		resp.Body.Close()
		c.Close()
		assert.Equal(t, resp.StatusCode, want, "%d bytes", size)
	}
}
