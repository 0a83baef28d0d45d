// Package clocktest suspends the machine, as far as package clock can see, in tests.
package clocktest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/springgate/springgate/clock"
)

// Machine is one that can be suspended.
type Machine struct{ slept atomic.Int64 }

// New makes the process's clock that of a machine until the test ends. Tests that do so do
// not run in parallel with others of their package.
func New(t testing.TB) *Machine {
	m := &Machine{}
	t.Cleanup(clock.SetSource(func() (boot, monotonic time.Duration) { return time.Duration(m.slept.Load()), 0 }, m.TimeOfDay))
	return m
}

// TimeOfDay returns the time of day, which goes on during a suspension.
func (m *Machine) TimeOfDay() time.Time {
	return time.Now().Add(time.Duration(m.slept.Load())).Round(0)
}

// Suspend lets d pass while the machine is suspended.
func (m *Machine) Suspend(d time.Duration) {
	m.slept.Add(int64(d))
	clock.Refresh()
}
