package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// memoryNet dials connections in memory and counts those that are open.
type memoryNet struct {
	dialled, open atomic.Int64
	held          chan struct{} // if not nil, dials wait until it is closed
}

// countedConn is one end of a connection in memory.
type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

func (n *memoryNet) dial(context.Context, string) (net.Conn, error) {
	n.dialled.Add(1)
	if n.held != nil {
		<-n.held
	}
	near, far := net.Pipe()
	n.open.Add(1)
	go func() {
		if c, err := NewConn(far, Hello{Host: "far"}, false, nil, &Meter{}); err == nil {
			<-c.Done()
		}
	}()
	return &countedConn{Conn: near, open: &n.open}, nil
}

func (n *memoryNet) allClosed(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if left := n.open.Load(); left > 0 {
			return poll.Continue("%d of %d connections are open", left, n.dialled.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

func TestClosedPoolDialsNoMore(t *testing.T) {
	n := &memoryNet{}
	p := NewPoolWithDialer(n.dial, Hello{Host: "c"}, nil, &Meter{})
	_, err := p.Get(t.Context(), "a", Control)
	assert.NilError(t, err)
	p.Close()
	_, err = p.Get(t.Context(), "a", Control)
	assert.ErrorIs(t, err, ErrDial)
	assert.Equal(t, n.dialled.Load(), int64(1))
	n.allClosed(t)
}

// A caller that waits for an address while the pool lets go of it ends with a connection
// that the pool knows and closes.
func TestPoolKnowsEveryOpenConnection(t *testing.T) {
	const rounds = 300
	for name, letGo := range map[string]func(p *Pool){
		"address left": func(p *Pool) { p.Keep(func(string) bool { return false }) },
		"idle":         func(p *Pool) { p.CloseIdle(time.Now().Add(time.Hour), 0) },
	} {
		t.Run(name, func(t *testing.T) {
			n := &memoryNet{}
			p := NewPoolWithDialer(n.dial, Hello{Host: "c"}, nil, &Meter{})
			for range rounds {
				_, err := p.Get(t.Context(), "a", Control)
				assert.NilError(t, err)
				s := p.slots[poolKey{"a", Control}]
				s.mu.Lock()
				var callers sync.WaitGroup
				callers.Go(func() { _, _ = p.Get(t.Context(), "a", Control) })
				time.Sleep(time.Millisecond) // the caller waits for the slot now, mostly
				s.mu.Unlock()
				letGo(p)
				callers.Wait()
			}
			p.Close()
			n.allClosed(t)
		})
	}
}

// A caller that was dialling when the pool was closed leaves no connection behind.
func TestPoolClosedWhileItDials(t *testing.T) {
	n := &memoryNet{held: make(chan struct{})}
	p := NewPoolWithDialer(n.dial, Hello{Host: "c"}, nil, &Meter{})
	const callers = 8
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { _, _ = p.Get(t.Context(), "a", Control) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.dialled.Load() == 0 {
			return poll.Continue("nobody dials")
		}
		return poll.Success()
	})
	p.Close()
	close(n.held)
	all.Wait()
	assert.Equal(t, n.dialled.Load(), int64(1))
	n.allClosed(t)
}
