package notice

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func backoff(ms int) Statement { return Statement{Backoff: time.Duration(ms) * time.Millisecond} }

// canSendAt reports whether a request may be sent at a time.
func (t *Table) canSendAt(ms int) bool { return !t.BackoffOf(incarnation).Next(at(ms)).After(at(ms)) }

func TestBackoffIsObserved(t *testing.T) {
	x := NewTable()
	assert.Assert(t, x.canSendAt(0))
	assert.Assert(t, x.Record(at(10), incarnation, backoff(3000), at(0)).Backoff)
	assert.Assert(t, !x.Record(at(20), incarnation, backoff(1000), at(0)).Backoff, "a shorter back-off must not end the current one")
	x.Record(at(30), incarnation, Statement{}, at(5))
	assert.Assert(t, !x.canSendAt(3009))
	assert.Assert(t, x.canSendAt(3010))
	assert.Equal(t, x.StateOf(incarnation), State{}, "a back-off is not reported to other entries")
}

func TestSingleProbeAfterBackoff(t *testing.T) {
	x := NewTable()
	x.Record(at(0), incarnation, backoff(1000), at(0))
	x.RecordSend(at(1000), incarnation)
	assert.Assert(t, !x.canSendAt(1001))
	x.Record(at(1050), incarnation, Statement{}, at(900))
	assert.Assert(t, !x.canSendAt(1051), "response to a request sent before the probe")
	x.Record(at(1100), incarnation, Statement{}, at(1000))
	assert.Assert(t, x.canSendAt(1101))
	x.RecordSend(at(1101), incarnation)
	assert.Assert(t, x.canSendAt(1101))
}

func TestUnansweredProbeIsRepeated(t *testing.T) {
	x := NewTable()
	x.Record(at(0), incarnation, backoff(1000), at(0))
	x.RecordSend(at(1000), incarnation)
	assert.Assert(t, !x.canSendAt(1499))
	assert.Assert(t, x.canSendAt(1500))
	x.RecordSend(at(1500), incarnation)
	x.CancelSend(incarnation)
	assert.Assert(t, x.canSendAt(1501))
	x.RecordSend(at(1501), incarnation)
	x.Record(at(1510), incarnation, backoff(2000), at(1501))
	assert.Assert(t, !x.canSendAt(3509))
	assert.Assert(t, x.canSendAt(3510))
}
