package peer

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// memoryNet dials in-memory connections and counts the open ones.
type memoryNet struct {
	dialled, open atomic.Int64
	dialGate      chan struct{} // if not nil, dials block until it is closed
}

// countedConn is one end of an in-memory connection.
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
	if n.dialGate != nil {
		<-n.dialGate
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

func (n *memoryNet) waitAllClosed(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if left := n.open.Load(); left > 0 {
			return poll.Continue("%d of %d connections are still open", left, n.dialled.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

func TestClosedPoolDoesNotDial(t *testing.T) {
	n := &memoryNet{}
	p := NewPoolWithDialer(n.dial, Hello{Host: "c"}, nil, &Meter{})
	_, err := p.Get(t.Context(), "a", Control)
	assert.NilError(t, err)
	p.Close()
	_, err = p.Get(t.Context(), "a", Control)
	assert.ErrorIs(t, err, ErrDial)
	assert.Equal(t, n.dialled.Load(), int64(1))
	n.waitAllClosed(t)
}

// A caller that waits for a slot while the pool removes it must get a connection that the
// pool tracks. Otherwise the connection stays open after Close.
func TestPoolTracksEveryOpenConnection(t *testing.T) {
	const rounds = 300
	for name, remove := range map[string]func(p *Pool){
		"address removed": func(p *Pool) { p.Keep(func(string) bool { return false }) },
		"idle":            func(p *Pool) { p.CloseIdle(time.Now().Add(time.Hour), 0) },
	} {
		t.Run(name, func(t *testing.T) {
			n := &memoryNet{}
			p := NewPoolWithDialer(n.dial, Hello{Host: "c"}, nil, &Meter{})
			for range rounds {
				_, err := p.Get(t.Context(), "a", Control)
				assert.NilError(t, err)
				s := p.slots[poolKey{"a", Control}]
				s.lock <- struct{}{}
				var callers sync.WaitGroup
				callers.Go(func() { _, _ = p.Get(t.Context(), "a", Control) })
				time.Sleep(time.Millisecond) // usually enough for the caller to wait for the slot
				s.release()
				remove(p)
				callers.Wait()
			}
			p.Close()
			n.waitAllClosed(t)
		})
	}
}

// A dial in progress when the pool is closed must not leave an open connection behind.
func TestPoolClosedWhileDialling(t *testing.T) {
	n := &memoryNet{dialGate: make(chan struct{})}
	p := NewPoolWithDialer(n.dial, Hello{Host: "c"}, nil, &Meter{})
	const callers = 8
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { _, _ = p.Get(t.Context(), "a", Control) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.dialled.Load() == 0 {
			return poll.Continue("no dial in progress")
		}
		return poll.Success()
	})
	p.Close()
	close(n.dialGate)
	all.Wait()
	assert.Equal(t, n.dialled.Load(), int64(1))
	n.waitAllClosed(t)
}

// A caller waits no longer than it can for a connection that another caller is dialling.
func TestCallerDoesNotOutwaitItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		p := NewPoolWithDialer(hang, Hello{}, nil, &Meter{})
		go func() { _, _ = p.Get(t.Context(), "a", Control) }()
		synctest.Wait()
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
		defer cancel()
		_, err := p.Get(ctx, "a", Control)
		assert.ErrorIs(t, err, ErrDial)
		assert.Equal(t, time.Since(begun), 25*time.Millisecond)
		time.Sleep(dialTimeout)
	})
}

// An idle connection holds little memory: an entry may have 4,096 descriptors open and 128 MB.
func TestIdleConnectionsAreSmall(t *testing.T) {
	const conns, limit = 100, 128 << 20 / 4096 // bytes of both ends of a connection
	synctest.Test(t, func(t *testing.T) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var all []*Conn
		for range conns {
			a, b := net.Pipe()
			accepted := make(chan *Conn)
			go func() {
				c, _ := NewConn(b, Hello{}, false, nil, &Meter{})
				accepted <- c
			}()
			c, err := NewConn(a, Hello{}, true, nil, &Meter{})
			assert.NilError(t, err)
			all = append(all, c, <-accepted)
		}
		synctest.Wait()
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := (after.HeapAlloc - before.HeapAlloc) / conns
		for _, c := range all {
			c.Close()
		}
		assert.Assert(t, held < limit, "%d B a connection", held)
	})
}
