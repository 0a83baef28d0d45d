package idempotency

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/springgate/springgate/outcome"
	"gotest.tools/v3/assert"
)

// issuedAt returns a key of a date.
func issuedAt(date time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := date.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return u.String()
}

// The dates of keys are held against the clock of the table, which has gone apart from the
// time of day: a key of a time of which the homes are not known may have run elsewhere.
func TestDatesOfKeysAreReadByTheClock(t *testing.T) {
	const apart = time.Minute // the clock is ahead of the time of day
	date := time.Date(2020, 1, 2, 3, 4, 5, 0, time.UTC)
	now := date.Add(apart)
	cfg := Config{KeyWindow: time.Minute, ClockSkew: time.Second, AtDate: func(d time.Time) time.Time { return d.Add(apart) }}
	table := NewTable(cfg, now.Add(-time.Hour))
	decide := func(issued, known time.Duration) KeyDecision {
		past := HomeHistory{Self: "a", CurrentHosts: []string{"a"}, KnownSince: now.Add(-known)}
		return table.BeginKey(now, KeyID{Service: "s", Team: "blue", Key: issuedAt(date.Add(-issued))}, Fingerprint{}, past)
	}
	assert.Equal(t, decide(10*time.Second, 72*time.Second).Verdict, KeyRun)
	assert.DeepEqual(t, decide(10*time.Second, 70*time.Second), KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTooOld})
	assert.Equal(t, decide(58*time.Second, time.Hour).Verdict, KeyRun)
	assert.DeepEqual(t, decide(60*time.Second, time.Hour), KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTooOld})
	assert.DeepEqual(t, decide(-2*time.Second, time.Hour), KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyInvalid})
}
