package notice

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func rest(ms int) Statement { return Statement{Backoff: time.Duration(ms) * time.Millisecond} }

// mayAt reports whether a request may be sent at a time.
func (t *Table) mayAt(ms int) bool { return !t.BackoffOf(life).Next(at(ms)).After(at(ms)) }

func TestRestIsKept(t *testing.T) {
	x := NewTable()
	assert.Assert(t, x.mayAt(0))
	assert.Assert(t, x.Record(at(10), life, rest(3000), at(0)).Backoff)
	assert.Assert(t, !x.Record(at(20), life, rest(1000), at(0)).Backoff, "a shorter one does not end it sooner")
	x.Record(at(30), life, Statement{}, at(5))
	assert.Assert(t, !x.mayAt(3009))
	assert.Assert(t, x.mayAt(3010))
	assert.Equal(t, x.StateOf(life), State{}, "it is not told to others")
}

func TestOneRequestIsTriedAfterARest(t *testing.T) {
	x := NewTable()
	x.Record(at(0), life, rest(1000), at(0))
	x.RecordSend(at(1000), life)
	assert.Assert(t, !x.mayAt(1001))
	x.Record(at(1050), life, Statement{}, at(900))
	assert.Assert(t, !x.mayAt(1051), "an answer to one sent before")
	x.Record(at(1100), life, Statement{}, at(1000))
	assert.Assert(t, x.mayAt(1101))
	x.RecordSend(at(1101), life)
	assert.Assert(t, x.mayAt(1101))
}

func TestTrialWithoutAnAnswerIsRepeated(t *testing.T) {
	x := NewTable()
	x.Record(at(0), life, rest(1000), at(0))
	x.RecordSend(at(1000), life)
	assert.Assert(t, !x.mayAt(1499))
	assert.Assert(t, x.mayAt(1500))
	x.RecordSend(at(1500), life)
	x.CancelSend(life)
	assert.Assert(t, x.mayAt(1501))
	x.RecordSend(at(1501), life)
	x.Record(at(1510), life, rest(2000), at(1501))
	assert.Assert(t, !x.mayAt(3509))
	assert.Assert(t, x.mayAt(3510))
}
