package agent

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
)

// Limits of the buffer of one answer.
const (
	// dataFrameSize is the maximum payload of a data frame, in bytes.
	dataFrameSize = 16 << 10
	// retainedBytes is how many bytes of the answer are kept after they were
	// sent, so that the answer can be resumed. They cover all frames that can be
	// in transit.
	retainedBytes = 512 << 10
	// maxAheadBytes is how many bytes may be buffered that no reader has received
	// before the writer, which reads from the target, blocks.
	maxAheadBytes = 256 << 10
)

// errNotHeld is returned if the requested part of an answer is no longer buffered.
var errNotHeld = errors.New("agent: part of the answer is no longer held")

// answer buffers the target's answer to one attempt. It supports one writer, which copies
// the answer from the target, and one reader at a time, which sends it to an entry.
type answer struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	head    *peer.Head
	buf     []byte
	base    int64 // offset of buf[0]
	sent    int64 // end offset of the data passed to a reader
	sum     *xxhash.Digest
	ended   bool
	failure outcome.Reason // set if the answer is incomplete

	delivered chan struct{} // closed when the end has been sent to a reader
	once      sync.Once
}

func newAnswer() *answer {
	return &answer{changed: make(chan struct{}), sum: xxhash.New(), delivered: make(chan struct{})}
}

// markDelivered records that the end of the answer has been sent to a reader.
func (a *answer) markDelivered() { a.once.Do(func() { close(a.delivered) }) }

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

// write appends p. It blocks while the buffered data is more than maxAheadBytes ahead of
// the reader.
func (a *answer) write(ctx context.Context, p []byte) error {
	for {
		a.mu.Lock()
		if a.base+int64(len(a.buf)) <= a.sent+maxAheadBytes {
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
	if drop := a.sent - retainedBytes - a.base; drop > dataFrameSize {
		a.buf = append([]byte(nil), a.buf[drop:]...)
		a.base += drop
	}
	a.notify()
}

// end marks the answer as complete.
func (a *answer) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.notify()
}

// fail marks the answer as incomplete for the given reason.
func (a *answer) fail(r outcome.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended && a.failure == "" {
		a.failure = r
		a.notify()
	}
}

// fromStart reports whether all bytes of the answer from the first are still buffered.
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

// answerPart is the next part to send to the reader: the head, data, the end or a failure.
type answerPart struct {
	head    *peer.Head
	data    []byte
	end     *peer.End
	failure outcome.Reason
}

// next waits for the next part of the answer and returns it: the head if needHead is set,
// otherwise data from offset on or the end; or the failure, if the answer is incomplete.
func (a *answer) next(ctx context.Context, offset int64, needHead bool) (answerPart, error) {
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
			return answerPart{}, ctx.Err()
		}
	}
}

func (a *answer) available(offset int64, needHead bool) (answerPart, bool, error) {
	length := a.base + int64(len(a.buf))
	switch {
	case needHead && a.head != nil:
		return answerPart{head: a.head}, true, nil
	case a.failure != "":
		return answerPart{failure: a.failure}, true, nil
	case needHead:
		return answerPart{}, false, nil
	case offset < a.base || offset > length:
		return answerPart{}, false, errNotHeld
	case offset < length:
		return a.nextData(offset), true, nil
	case a.ended:
		return answerPart{end: &peer.End{Length: length, Sum: a.sum.Sum64()}}, true, nil
	}
	return answerPart{}, false, nil
}

// nextData copies the data of the next frame and unblocks the writer.
func (a *answer) nextData(offset int64) answerPart {
	from := a.buf[offset-a.base:]
	data := append([]byte(nil), from[:min(len(from), dataFrameSize)]...)
	if end := offset + int64(len(data)); end > a.sent {
		a.sent = end
		a.notify()
	}
	return answerPart{data: data}
}
