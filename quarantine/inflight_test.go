package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The time in flight of a subject adds up over its requests, and begins anew after its crashes and when none is
// in flight.
func TestInFlight(t *testing.T) {
	x := NewTable()
	a, b := []Fingerprint{bad, system}, []Fingerprint{poll, system}
	x.BeginRun(at(0), a)
	x.BeginRun(at(time.Second), b)
	assert.Equal(t, x.InFlight(at(3*time.Second), bad), 3*time.Second)
	assert.Equal(t, x.InFlight(at(3*time.Second), system), 5*time.Second)
	x.RecordCrashes(at(3*time.Second), crash(system, 1, 3*time.Second))
	x.EndRun(at(4*time.Second), a)
	assert.Equal(t, x.InFlight(at(4*time.Second), bad), time.Duration(0))
	assert.Equal(t, x.InFlight(at(5*time.Second), system), 3*time.Second)
	x.EndRun(at(5*time.Second), b)
	x.EndRun(at(5*time.Second), b) // more often than begun
	assert.Equal(t, len(x.inFlight), 0)
}
