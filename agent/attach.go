package agent

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/peer"
)

// attachment tracks whether a stream to an entry, which receives the answer, is attached
// to a running request.
type attachment struct {
	mu         sync.Mutex
	readers    int
	callerLeft bool          // the entry reset the stream because the caller disconnected
	changed    chan struct{} // closed and replaced at each change
}

func (t *attachment) notify() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// attach records the stream with context ctx as attached until ctx ends. If the entry
// reset the stream while its connection stayed up, the caller has disconnected.
func (t *attachment) attach(ctx context.Context) {
	t.mu.Lock()
	t.readers++
	t.notify()
	t.mu.Unlock()
	context.AfterFunc(ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.readers--
		t.callerLeft = t.callerLeft || errors.Is(context.Cause(ctx), peer.ErrReset)
		t.notify()
	})
}

// state returns whether a reader is attached, whether the caller has disconnected, and
// a channel that is closed at the next change.
func (t *attachment) state() (attached, callerLeft bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.readers > 0, t.callerLeft, t.changed
}

// waitDetached waits until no stream is attached. It reports whether the caller has
// disconnected.
func (t *attachment) waitDetached(ctx context.Context) (callerLeft bool) {
	for {
		attached, callerLeft, changed := t.state()
		if !attached {
			return callerLeft
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// reattached returns a channel that is closed when a stream is attached again. It is
// called while no stream is attached.
func (t *attachment) reattached() <-chan struct{} {
	_, _, changed := t.state()
	return changed
}

// bodyReader reads a request body from the frames of a stream.
type bodyReader struct {
	ctx    context.Context
	stream *peer.Stream
	// received is called with the length of each frame's data.
	received func(int)
	unread   []byte
	last     bool
}

// errUnexpectedFrame is returned if a frame of another kind is received within a body.
var errUnexpectedFrame = errors.New("agent: unexpected frame in a request body")

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.last {
			return 0, io.EOF
		}
		m, err := b.stream.Recv(b.ctx)
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		body, ok := m.(*peer.Body)
		if !ok {
			return 0, errUnexpectedFrame
		}
		b.unread, b.last = body.Data, body.Last
		b.received(len(body.Data))
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}
