package agent

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
)

// errWeightMemory is returned if a version exceeds the weight memory limit.
var errWeightMemory = errors.New("agent: version exceeds the weight memory limit")

// chunks is a memory store of verified chunks and manifests by digest, with a size limit.
type chunks struct {
	limit int64

	mu   sync.RWMutex
	data map[digest.Digest][]byte
	size int64
}

func newChunks(limit int64) *chunks {
	return &chunks{limit: limit, data: map[digest.Digest][]byte{}}
}

// get returns a chunk, or nil. The caller must not modify it.
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

// retain discards all chunks except the wanted ones.
func (c *chunks) retain(wanted map[digest.Digest]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, b := range c.data {
		if !wanted[d] {
			c.size -= int64(len(b))
			delete(c.data, d)
		}
	}
}

// holding lists the chunks of one version that this host has stored, for notifying its
// neighbours, the hosts that it exchanges chunks with.
type holding struct {
	mu      sync.Mutex
	count   int
	added   []uint32 // in the order of arrival
	changed chan struct{}
	awaited map[int]chan struct{} // by index of a chunk that a peer has requested; closed when it arrives
}

func newHolding(count int) *holding {
	return &holding{count: count, changed: make(chan struct{}), awaited: map[int]chan struct{}{}}
}

func (h *holding) add(chunk int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.added = append(h.added, uint32(chunk))
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

// since returns the chunks added after the first n, and a channel that is closed when
// further chunks are added.
func (h *holding) since(n int) ([]uint32, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint32(nil), h.added[n:]...), h.changed
}
