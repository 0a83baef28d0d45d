package peer

import (
	"fmt"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"
)

// Locality tells whether two processes are in the same failure domain.
type Locality uint8

// Localities of two processes.
const (
	SameDomain Locality = iota
	OtherDomain
)

// String returns the name used in metrics.
func (b Locality) String() string { return [...]string{"near", "far"}[b] }

func localityOf(a, b Hello) Locality {
	if a.Domain == b.Domain {
		return SameDomain
	}
	return OtherDomain
}

// Meter counts the bytes that a process exchanges with its peers: by connection class,
// and for sent bytes also by message kind and locality. The links between failure domains
// are shared by all traffic, so traffic there that grows with the size of the fleet must be
// visible.
type Meter struct {
	in, out [Bulk + 1]atomic.Int64
	byKind  [OtherDomain + 1][kindCount]sentTotals
}

// sentTotals counts the bytes and messages of one kind sent to peers of one locality.
type sentTotals struct{ bytes, messages atomic.Int64 }

// Bytes returns the number of bytes received and sent on connections of a class.
func (m *Meter) Bytes(c Class) (in, out int64) { return m.in[c].Load(), m.out[c].Load() }

// Sent returns the number of bytes and messages of a kind sent to peers of a locality.
func (m *Meter) Sent(b Locality, k Kind) (bytes, messages int64) {
	t := &m.byKind[b][k]
	return t.bytes.Load(), t.messages.Load()
}

// SentAll returns the number of bytes and messages of all kinds sent to peers of a
// locality.
func (m *Meter) SentAll(b Locality) (bytes, messages int64) {
	for k := range Kind(kindCount) {
		n, count := m.Sent(b, k)
		bytes, messages = bytes+n, messages+count
	}
	return bytes, messages
}

// sent counts one sent frame in its encoded form.
func (m *Meter) sent(c Class, b Locality, frame []byte) {
	n := int64(len(frame))
	m.out[c].Add(n)
	t := &m.byKind[b][frame[lengthSize]]
	t.bytes.Add(n)
	t.messages.Add(1)
}

// Register adds a gauge of the bytes sent for each message kind and locality.
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

// kindName returns the name of a message kind in metrics. It is the name of the Go type of
// the message, so renaming a message type renames its metric.
func kindName(k Kind) string {
	switch k {
	case kindCredit:
		return "credit"
	case kindReset:
		return "reset"
	}
	return fmt.Sprintf("%T", newMessage(k))[len("*peer."):]
}
