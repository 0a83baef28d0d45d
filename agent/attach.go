package agent

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/peer"
)

// attachment tracks whether an entry listens to a running request.
type attachment struct {
	mu      sync.Mutex
	readers int
	left    bool          // the caller left: the stream was reset
	changed chan struct{} // closed and replaced at each change
}

func (t *attachment) signal() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// attach notes that the stream with context ctx listens, until ctx ends. A
// stream that the entry reset, while its connection lives, means that the
// caller left.
func (t *attachment) attach(ctx context.Context) {
	t.mu.Lock()
	t.readers++
	t.signal()
	t.mu.Unlock()
	context.AfterFunc(ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.readers--
		t.left = t.left || errors.Is(context.Cause(ctx), peer.ErrReset)
		t.signal()
	})
}

// state returns whether a reader is attached, whether the caller left, and a
// channel that is closed at the next change.
func (t *attachment) state() (attached, left bool, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.readers > 0, t.left, t.changed
}

// waitDetached waits until no entry listens. It reports whether the caller
// left for good.
func (t *attachment) waitDetached(ctx context.Context) (left bool) {
	for {
		attached, left, changed := t.state()
		if !attached {
			return left
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// attached returns a channel that is closed when an entry listens again.
func (t *attachment) attached() <-chan struct{} {
	_, _, changed := t.state()
	return changed
}

// bodyReader reads a request body from the frames of a stream.
type bodyReader struct {
	ctx    context.Context
	stream *peer.Stream
	// received is told the length of each piece.
	received func(int)
	rest     []byte
	last     bool
}

// errBody means that a frame of another kind came in the middle of a body.
var errBody = errors.New("agent: unexpected frame in a request body")

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
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
			return 0, errBody
		}
		b.rest, b.last = body.Data, body.Last
		b.received(len(body.Data))
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}
