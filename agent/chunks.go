package agent

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
)

// errWeightMemory means that a version does not fit in the memory allowed.
var errWeightMemory = errors.New("agent: version does not fit in the weight memory")

// chunks holds verified chunks and manifests by digest, in bounded memory.
type chunks struct {
	limit int64

	mu   sync.RWMutex
	data map[digest.Digest][]byte
	size int64
}

func newChunks(limit int64) *chunks {
	return &chunks{limit: limit, data: map[digest.Digest][]byte{}}
}

// get returns a chunk, or nil. The caller does not change it.
func (c *chunks) get(d digest.Digest) []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.data[d]
}

// put stores a chunk whose digest has been verified.
func (c *chunks) put(d digest.Digest, b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data[d] != nil {
		return nil
	}
	if c.size+int64(len(b)) > c.limit {
		return errWeightMemory
	}
	c.data[d] = b
	c.size += int64(len(b))
	return nil
}

// keep discards all chunks but the wanted.
func (c *chunks) keep(wanted map[digest.Digest]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, b := range c.data {
		if !wanted[d] {
			c.size -= int64(len(b))
			delete(c.data, d)
		}
	}
}

// holding is what this host holds of one version, as told to neighbours.
type holding struct {
	mu      sync.Mutex
	count   int
	gained  []uint32 // in the order of arrival
	changed chan struct{}
	awaited map[int]chan struct{} // chunks that a peer has asked for
}

func newHolding(count int) *holding {
	return &holding{count: count, changed: make(chan struct{}), awaited: map[int]chan struct{}{}}
}

func (h *holding) add(chunk int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gained = append(h.gained, uint32(chunk))
	if c := h.awaited[chunk]; c != nil {
		close(c)
		delete(h.awaited, chunk)
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// arrival returns a channel that is closed when the chunk is added.
func (h *holding) arrival(chunk int) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.awaited[chunk]
	if c == nil {
		c = make(chan struct{})
		h.awaited[chunk] = c
	}
	return c
}

// since returns the chunks gained after the first n, and a channel that is
// closed when there are more.
func (h *holding) since(n int) ([]uint32, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint32(nil), h.gained[n:]...), h.changed
}
