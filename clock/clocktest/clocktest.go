// Package clocktest simulates suspensions of the machine for package clock in tests.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/springgate/springgate/clock"
)

// Machine simulates a machine that can be suspended.
type Machine struct{ suspended atomic.Int64 }

// New makes package clock read the clocks of a simulated machine until the test ends. Tests
// that call it must not run in parallel with other tests of their package.
func New(t testing.TB) *Machine {
	m := &Machine{}
	t.Cleanup(clock.SetSource(func() (boot, monotonic time.Duration) { return time.Duration(m.suspended.Load()), 0 }, m.TimeOfDay))
	return m
}

// TimeOfDay returns the wall clock, which includes suspensions.
func (m *Machine) TimeOfDay() time.Time {
	return time.Now().Add(time.Duration(m.suspended.Load())).Round(0)
}

// Suspend simulates a suspension of length d.
func (m *Machine) Suspend(d time.Duration) {
	m.suspended.Add(int64(d))
	clock.Refresh()
}
