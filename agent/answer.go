package agent

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
)

// Bounds of the memory of one answer.
const (
	// pieceSize is the length of a data frame in bytes.
	pieceSize = 16 << 10
	// retained is kept behind the last byte sent, so that an answer can be
	// resumed: it covers all frames that can be on the way.
	retained = 512 << 10
	// ahead is how far the target may run ahead of the entry.
	ahead = 256 << 10
)

// errGone means that the wanted part of an answer is no longer held.
var errGone = errors.New("agent: part of the answer is no longer held")

// answer buffers what a target answers to one attempt. One goroutine writes;
// one at a time reads.
type answer struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	head    *peer.Head
	buf     []byte
	base    int64 // offset of buf[0]
	sent    int64 // highest offset handed to a reader
	sum     *xxhash.Digest
	ended   bool
	failure outcome.Reason // set if the answer broke off

	delivered chan struct{} // closed when a reader has got the end
	once      sync.Once
}

func newAnswer() *answer {
	return &answer{changed: make(chan struct{}), sum: xxhash.New(), delivered: make(chan struct{})}
}

// deliver notes that a reader has got the end of the answer.
func (a *answer) deliver() { a.once.Do(func() { close(a.delivered) }) }

func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *answer) setHead(h *peer.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
	a.notify()
}

// write appends p. It blocks while the reader is too far behind.
func (a *answer) write(ctx context.Context, p []byte) error {
	for {
		a.mu.Lock()
		if a.base+int64(len(a.buf)) <= a.sent+ahead {
			a.append(p)
			a.mu.Unlock()
			return nil
		}
		wait := a.changed
		a.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *answer) append(p []byte) {
	_, _ = a.sum.Write(p)
	a.buf = append(a.buf, p...)
	if drop := a.sent - retained - a.base; drop > pieceSize {
		a.buf = append([]byte(nil), a.buf[drop:]...)
		a.base += drop
	}
	a.notify()
}

// end marks the answer as whole.
func (a *answer) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.notify()
}

// fail marks the answer as broken off.
func (a *answer) fail(r outcome.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended && a.failure == "" {
		a.failure = r
		a.notify()
	}
}

// fromStart reports whether the answer can still be sent from its start.
func (a *answer) fromStart() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base == 0
}

func (a *answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(cap(a.buf))
}

// piece is the next thing to send to the reader.
type piece struct {
	head    *peer.Head
	data    []byte
	end     *peer.End
	failure outcome.Reason
}

// next returns what follows offset, waiting for it if needed.
func (a *answer) next(ctx context.Context, offset int64, needHead bool) (piece, error) {
	for {
		a.mu.Lock()
		p, ok, err := a.available(offset, needHead)
		wait := a.changed
		a.mu.Unlock()
		if ok || err != nil {
			return p, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return piece{}, ctx.Err()
		}
	}
}

func (a *answer) available(offset int64, needHead bool) (piece, bool, error) {
	length := a.base + int64(len(a.buf))
	switch {
	case needHead && a.head != nil:
		return piece{head: a.head}, true, nil
	case a.failure != "":
		return piece{failure: a.failure}, true, nil
	case needHead:
		return piece{}, false, nil
	case offset < a.base || offset > length:
		return piece{}, false, errGone
	case offset < length:
		return a.cut(offset), true, nil
	case a.ended:
		return piece{end: &peer.End{Length: length, Sum: a.sum.Sum64()}}, true, nil
	}
	return piece{}, false, nil
}

// cut copies the next piece of data and lets the writer go on.
func (a *answer) cut(offset int64) piece {
	from := a.buf[offset-a.base:]
	data := append([]byte(nil), from[:min(len(from), pieceSize)]...)
	if end := offset + int64(len(data)); end > a.sent {
		a.sent = end
		a.notify()
	}
	return piece{data: data}
}
