package weights

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func TestNextManifestSource(t *testing.T) {
	entry, other, origin := source{addr: "a1"}, source{addr: "a2", beside: true}, source{}
	for _, c := range []struct {
		src     source
		pending int
		waited  time.Duration
		want    bool
	}{
		{entry, 0, 0, true},
		{entry, 1, entryPatience - 1, false},
		{entry, 1, entryPatience, true},
		{other, 0, time.Hour, false},
		{other, 1, entryPatience - 1, false},
		{other, 1, entryPatience, true},
		{origin, 0, 0, true},
		{origin, 1, entryPatience, false},
		{origin, 1, originPatience, true},
	} {
		assert.Equal(t, c.src.due(c.pending, c.waited), c.want, "%v, %d pending, waited %v", c.src, c.pending, c.waited)
	}
}

// The origin, or the reader that is to be asked first, does not answer. An entry has the manifest
// in memory, and is asked beside them.
func TestManifestIsReadFromAnEntryBesideASilentSource(t *testing.T) {
	for _, holder := range []string{"a2", "b1", "b2", "c1"} {
		for _, silent := range []string{"", "a2", "b1", "b2", "c1"} {
			if silent == holder {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(threeDomains())
				n.hold(2)
				q := &peer.GetManifest{Model: testModel, Version: 2}
				_, err := n.relays[holder].Manifest(t.Context(), q)
				assert.NilError(t, err)
				n.origin.silent, n.silent = true, map[string]bool{silent: true}
				begun := clock.Now()
				_, err = n.relays["a1"].Manifest(t.Context(), q)
				assert.NilError(t, err)
				assert.Check(t, clock.Since(begun) <= 4*entryPatience, "from %s, while %q is silent: %v", holder, silent, clock.Since(begun))
				synctest.Wait()
			})
		}
	}
}

// Agents of all domains ask all entries at once: the manifest is still read from the origin a few
// times only.
func TestManifestIsReadFromTheOriginByReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(threeDomains())
		n.hold(2)
		done := make(chan error, len(n.relays))
		for _, r := range n.relays {
			go func() {
				_, err := r.Manifest(t.Context(), &peer.GetManifest{Model: testModel, Version: 2})
				done <- err
			}()
		}
		for range n.relays {
			assert.NilError(t, <-done)
		}
		assert.Equal(t, n.origin.manifests, 1)
	})
}

// At a start, entries know different members, and two take each other for the reader. Neither waits
// until the other's answer has timed out.
func TestReadersThatWaitForEachOtherAskTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(map[string]string{"a1": "a", "a2": "a"})
		n.hold(2)
		for _, r := range n.relays { // each knows the other one as a reader with a faster link
			r.self.LinkMbps = 1
			other := r.entries
			r.entries = func() []peer.Presence {
				list := other()
				list[0].LinkMbps = 100
				return list
			}
		}
		begun := clock.Now()
		done := make(chan error, len(n.relays))
		for _, r := range n.relays {
			go func() {
				_, err := r.Manifest(t.Context(), &peer.GetManifest{Model: testModel, Version: 2})
				done <- err
			}()
		}
		for range n.relays {
			assert.NilError(t, <-done)
		}
		assert.Check(t, clock.Since(begun) <= 800*time.Millisecond, "%v", clock.Since(begun))
	})
}
