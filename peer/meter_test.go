package peer

import (
	"context"
	"net"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Sent bytes are counted by message kind and by whether the peer is in the same failure
// domain.
func TestMeterCountsByKindAndLocality(t *testing.T) {
	meter := &Meter{}
	for domain, calls := range map[string]int{"a": 1, "b": 3} {
		near, far := net.Pipe()
		answer := func(ctx context.Context, s *Stream, _ Message) { _ = s.SendLast(ctx, &Blob{}) }
		accepted := make(chan *Conn, 1)
		go func() {
			c, err := NewConn(far, Hello{Domain: domain}, false, answer, &Meter{})
			assert.Check(t, err)
			accepted <- c
		}()
		c, err := NewConn(near, Hello{Domain: "a"}, true, nil, meter)
		assert.NilError(t, err)
		for range calls {
			_, err := c.Call(t.Context(), &GetPiece{Model: "m"})
			assert.NilError(t, err)
		}
		c.Close()
		(<-accepted).Close()
	}
	nearBytes, near := meter.Sent(SameDomain, kindGetPiece)
	farBytes, far := meter.Sent(OtherDomain, kindGetPiece)
	assert.Equal(t, near, int64(1))
	assert.Equal(t, far, int64(3))
	assert.Equal(t, farBytes, 3*nearBytes)
	all, _ := meter.SentAll(OtherDomain)
	assert.Assert(t, all >= farBytes)

	r := metrics.NewRegistry()
	assert.NilError(t, meter.Register(r))
	gauge, ok := r.Get("peer.sent_bytes.far.GetPiece").(metrics.Gauge)
	assert.Assert(t, ok)
	assert.Equal(t, gauge.Value(), farBytes)
	r.Each(func(name string, _ any) { assert.Assert(t, !strings.HasSuffix(name, "."), "unnamed message kind") })
}
