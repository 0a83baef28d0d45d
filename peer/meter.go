package peer

import (
	"fmt"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"
)

// Locality tells whether two processes stand in the same failure domain.
type Locality uint8

// Borders.
const (
	SameDomain Locality = iota // the same failure domain
	OtherDomain
)

// String returns the name of the border in metrics.
func (b Locality) String() string { return [...]string{"near", "far"}[b] }

func borderOf(a, b Hello) Locality {
	if a.Domain == b.Domain {
		return SameDomain
	}
	return OtherDomain
}

// Meter counts the bytes that a process exchanges with others: by class, and what is
// sent also by kind of message and by border. Links between failure domains carry all
// traffic together, so what grows there with the fleet has to be seen.
type Meter struct {
	in, out [Bulk + 1]atomic.Int64
	byKind  [OtherDomain + 1][kindCount]traffic
}

// traffic is what was sent of one kind of message.
type traffic struct{ bytes, messages atomic.Int64 }

// Bytes returns how many bytes of a class were received and sent.
func (m *Meter) Bytes(c Class) (in, out int64) { return m.in[c].Load(), m.out[c].Load() }

// Sent returns how many bytes and messages of a kind were sent over a border.
func (m *Meter) Sent(b Locality, k Kind) (bytes, messages int64) {
	t := &m.byKind[b][k]
	return t.bytes.Load(), t.messages.Load()
}

// SentAll returns how many bytes and messages of all kinds were sent over a border.
func (m *Meter) SentAll(b Locality) (bytes, messages int64) {
	for k := range Kind(kindCount) {
		n, count := m.Sent(b, k)
		bytes, messages = bytes+n, messages+count
	}
	return bytes, messages
}

// sent counts an encoded frame.
func (m *Meter) sent(c Class, b Locality, frame []byte) {
	n := int64(len(frame))
	m.out[c].Add(n)
	t := &m.byKind[b][frame[lengthSize]]
	t.bytes.Add(n)
	t.messages.Add(1)
}

// Register adds a gauge of the bytes sent for each kind of message and border.
func (m *Meter) Register(r metrics.Registry) error {
	for k := Kind(1); k < kindCount; k++ {
		for _, b := range []Locality{SameDomain, OtherDomain} {
			t := &m.byKind[b][k]
			name := fmt.Sprintf("peer.sent_bytes.%s.%s", b, kindName(k))
			if err := r.Register(name, metrics.NewFunctionalGauge(t.bytes.Load)); err != nil {
				return err
			}
		}
	}
	return nil
}

// kindName returns the name of a message type as it stands in metrics.
func kindName(k Kind) string {
	switch k {
	case kindCredit:
		return "credit"
	case kindReset:
		return "reset"
	}
	return fmt.Sprintf("%T", newMessage(k))[len("*peer."):]
}
