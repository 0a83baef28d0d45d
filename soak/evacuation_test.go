package soak

import (
	"testing"
	"time"

	"github.com/springgate/springgate/platform/fake"
	"gotest.tools/v3/assert"
)

// evacuatedWithin is how long after the store's answer no request may reach a target of an
// evacuated failure domain, as the platform's pages have it.
const evacuatedWithin = 5 * time.Second

// An operator asked that nothing more be sent to the targets of a failure domain. Entries
// sent there as before, until it was taken back: they know nothing of evacuations.
//
// The evidence: 4,056 and 4,335 requests in two hunted days reached targets of evacuated
// domains later than allowed, and no decoder reads that key.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	f, err := newFleet(Config{Seed: 1, Entries: 3, Engines: 3, PlainTargets: 6, Bin: buildPrograms(t), Dir: t.TempDir(), Logf: t.Logf})
	if f != nil {
		defer f.close()
	}
	assert.NilError(t, err)
	missing := f.awaitService(t.Context())
	assert.Equal(t, len(missing), 0, "%v", missing)

	evacuated := domains[0]
	f.store.Put(fake.KeyEvacuate(evacuated), struct{}{})
	time.Sleep(evacuatedWithin)
	c := newCaller(f, f.entries[0], "late", f.rng)
	defer c.client.CloseIdleConnections()
	var ids []string
	for range 30 {
		a := c.call(t.Context(), kinds[0], 0)
		assert.Check(t, a.Status == 200, "status %d", a.Status)
		ids = append(ids, a.ID)
	}
	reached := f.runs.Reached()
	for _, id := range ids {
		for _, instance := range reached[id] {
			assert.Check(t, !f.isOf(instance, evacuated), "%s reached %s", id, instance)
		}
	}
}

// isOf reports whether an instance is of a target in a failure domain.
func (f *Fleet) isOf(instance, domain string) bool {
	for i, x := range f.targets() {
		if x.Owns(instance) {
			return domains[i%len(domains)] == domain
		}
	}
	return false
}
