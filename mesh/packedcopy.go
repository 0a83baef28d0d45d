package mesh

import (
	"sync"

	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/revision"
)

// minPackedBytes is the least size of a copy that is packed: below it, a message takes less time on
// a link of 30 Mbit/s than the packing.
const minPackedBytes = 16 << 10

// packedCopy holds the packed events of the latest copy that was sent: when a fleet starts, many
// entries ask for the same one.
type packedCopy struct {
	mu                    sync.Mutex
	revision, maxRevision revision.Revision
	data                  []byte
}

// pack replaces the events of a full copy by their packed form if that saves bytes. A copy that
// cannot be packed is sent as it is.
func (p *packedCopy) pack(reply *peer.MirrorBatch) {
	if bytesOf(reply.Events) < minPackedBytes {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data == nil || p.revision != reply.Revision || p.maxRevision != reply.MaxRevision {
		data, err := peer.PackEvents(reply.Events)
		if err != nil {
			return
		}
		p.revision, p.maxRevision, p.data = reply.Revision, reply.MaxRevision, data
	}
	reply.Events, reply.Added.Packed = nil, p.data
}

func bytesOf(events []peer.MirrorEvent) (n int) {
	for _, e := range events {
		n += len(e.Key) + len(e.Value)
	}
	return n
}
