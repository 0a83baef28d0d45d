package idempotency

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/springgate/springgate/outcome"
	"gotest.tools/v3/assert"
)

// issuedAt returns a key that was generated at date.
func issuedAt(date time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := date.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return u.String()
}

// The timestamp of a key must be converted to the clock of the table, which may
// differ from the wall clock. Otherwise a key from a time for which its homes are
// unknown is accepted, although the key may have run at one of them.
func TestKeyTimestampsAreConvertedToTableClock(t *testing.T) {
	const offset = time.Minute // the table's clock is ahead of the wall clock
	date := time.Date(2020, 1, 2, 3, 4, 5, 0, time.UTC)
	now := date.Add(offset)
	cfg := Config{KeyWindow: time.Minute, ClockSkew: time.Second, FromWallTime: func(d time.Time) time.Time { return d.Add(offset) }}
	table := NewTable(cfg, now.Add(-time.Hour))
	decide := func(age, knownFor time.Duration) KeyDecision {
		history := HomeHistory{Self: "a", CurrentHosts: []string{"a"}, KnownSince: now.Add(-knownFor)}
		return table.BeginKey(now, KeyID{Service: "s", Team: "blue", Key: issuedAt(date.Add(-age))}, Fingerprint{}, history)
	}
	assert.Equal(t, decide(10*time.Second, 72*time.Second).Verdict, KeyRun)
	assert.DeepEqual(t, decide(10*time.Second, 70*time.Second), KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTooOld})
	assert.Equal(t, decide(58*time.Second, time.Hour).Verdict, KeyRun)
	assert.DeepEqual(t, decide(60*time.Second, time.Hour), KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTooOld})
	assert.DeepEqual(t, decide(-2*time.Second, time.Hour), KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyInvalid})
}
