package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// Guards against answers of net/http to unreadable requests that show neither in logs nor in metrics.
func TestAnswersWithoutHandlerAreCounted(t *testing.T) {
	log, records := logtest.NewNullLogger()
	registry := metrics.NewRegistry()
	f := newTestGateway(t)
	f.gateway.stats.registry = registry
	s := NewServer(ServerConfig{}, f.gateway, log)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.serve(&http.Server{Handler: f.gateway, MaxHeaderBytes: maxHeaderBytes}, s.observed(ln))
	for request, status := range map[string]int{
		"POST /safe/%zz HTTP/1.1\r\nHost: h.example\r\n\r\n":                                                              http.StatusBadRequest,
		"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nA: " + strings.Repeat("a", 2*maxHeaderBytes) + "\r\n\r\n":            http.StatusRequestHeaderFieldsTooLarge,
		"POST /none/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: 0\r\n\r\n":                      http.StatusNotFound,
		"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nKey: wrong\r\nContent-Length: 0\r\nX: \r\n\r\n": http.StatusUnauthorized,
	} {
		assert.Equal(t, rawStatus(t, ln.Addr().String(), request), status)
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestHeaderFieldsTooLarge} {
		counter, _ := registry.Get(fmt.Sprint("gateway.unreadable_requests.", status)).(metrics.Counter)
		assert.Assert(t, counter != nil && counter.Count() == 1, "status %d", status)
	}
	assert.Assert(t, registry.Get("gateway.unreadable_requests.404") == nil && registry.Get("gateway.unreadable_requests.401") == nil)
	assert.Equal(t, len(records.AllEntries()), 1, "within a second one is logged")
	assert.Equal(t, records.LastEntry().Level, logrus.WarnLevel)
}

// rawStatus sends bytes and returns the status of the answer.
func rawStatus(t *testing.T, addr, request string) int {
	var d net.Dialer
	c, err := d.DialContext(context.Background(), "tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	go func() { _, _ = c.Write([]byte(request)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}
