package control

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/peer"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// memoryNet connects nodes with each other and with their platform without
// sockets, for tests in virtual time.
type memoryNet struct {
	platform http.Handler

	mu    sync.Mutex
	nodes map[string]memoryNode // by address
	conns []*peer.Conn          // accepted connections
}

// memoryNode accepts the connections to one address.
type memoryNode struct {
	self    peer.Hello
	handler peer.Handler
}

// listen registers a node that accepts connections to addr.
func (m *memoryNet) listen(addr string, self peer.Hello, h peer.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[addr] = memoryNode{self: self, handler: h}
}

// dial implements peer.DialFunc.
func (m *memoryNet) dial(_ context.Context, addr string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	to, ok := m.nodes[addr]
	if !ok {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go func() {
		c, err := peer.NewConn(server, to.self, false, to.handler, &peer.Meter{})
		if err != nil {
			return // the dialing side has closed the pipe
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.conns = append(m.conns, c)
	}()
	return client, nil
}

// close removes all nodes and closes their connections.
func (m *memoryNet) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.nodes)
	for _, c := range m.conns {
		c.Close()
	}
}

// clients returns platform clients for one node.
func (m *memoryNet) clients() (*configservice.Client, *hostlist.Client) {
	h := httpc.NewServiceWithClient("memory", &http.Client{Transport: m})
	return configservice.NewWithClient(h, "http://platform"), hostlist.NewWithClient(h, "http://platform")
}

// RoundTrip implements http.RoundTripper. The platform's handler runs on the
// goroutine of the caller.
func (m *memoryNet) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	m.platform.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}
