package mirror

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/springgate/springgate/revision"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model is the reference model of the store: its keys and all its changes. The revisions of both
// are numbers within the present era.
type model struct {
	era     int64
	items   map[string]Event
	changes []Event
	writes  int // of all eras
}

func (m *model) revision() Revision { return revision.New(m.era, int64(len(m.changes))+1) }

// write makes a change, the next one of its era.
func (m *model) write(e Event) {
	e.Revision = m.revision() + 1
	m.writes++
	m.changes = append(m.changes, e)
	m.apply(e)
}

func (m *model) apply(e Event) {
	if e.Deleted {
		delete(m.items, e.Key)
		return
	}
	m.items[e.Key] = e
}

// restore drops all but the first changes and begins the next era.
func (m *model) restore(kept int) (lost []Event) {
	m.era++
	lost = slices.Clone(m.changes[kept:])
	m.changes = slices.Clone(m.changes[:kept])
	clear(m.items)
	for i := range m.changes {
		m.changes[i].Revision = revision.New(m.era, m.changes[i].Revision.Number())
		m.apply(m.changes[i])
	}
	return lost
}

func (m *model) all() Batch {
	b := Batch{Revision: m.revision()}
	for _, e := range m.items {
		b.Events = append(b.Events, e)
	}
	return b
}

func (m *model) since(after Revision, limit int) Batch {
	b := Batch{Revision: after}
	for _, e := range m.changes {
		if e.Revision > after && len(b.Events) < limit {
			b.Events = append(b.Events, e)
			b.Revision = e.Revision
		}
	}
	return b
}

func (m *model) contents() map[string]string {
	out := map[string]string{}
	for k, e := range m.items {
		out[k] = string(e.Value)
	}
	return out
}

// pagedRead is a full read of which the first page has been received.
type pagedRead struct {
	first Batch
	split string // first key of the second page
}

// page returns the items whose keys are at least from and below to; if to is empty, there is no
// upper bound.
func (m *model) page(from, to string) []Event {
	var out []Event
	for key, e := range m.items {
		if key >= from && (to == "" || key < to) {
			out = append(out, e)
		}
	}
	return out
}

// lateWatch is a response to a watch for a copy that arrives after responses that were created
// later.
type lateWatch struct {
	table  *Table
	answer Batch
}

// TestMirrorOracle lets three copies follow a store and each other with full reads, some
// of them in pages with changes in between, and partial watches, in any order and with
// late responses; the store is restored from older copies of itself. No copy may go back to
// an older revision, each agrees with what the store had at the copy's revision, and two copies of one revision that agree have equal digests.
func TestMirrorOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &model{items: map[string]Event{}}
		states := map[Revision]map[string]string{} // contents of the store by revision
		var lost []Event
		copies := []*Table{NewTable(""), NewTable(""), NewTable("")}
		lastRevision := make([]Revision, len(copies))
		lateReads := []Batch{}
		var pagedReads []pagedRead
		var watches []lateWatch
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(copies)-1).Draw(t, "copy") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				e := Event{Item: Item{Key: key, Value: fmt.Append(nil, store.writes)}}
				if _, exists := store.items[key]; exists && rapid.Bool().Draw(t, "delete") {
					e.Deleted, e.Value = true, nil
				}
				store.write(e)
			},
			"restore": func(t *rapid.T) {
				kept := rapid.IntRange(max(len(store.changes)-6, 0), len(store.changes)).Draw(t, "kept")
				lost = store.restore(kept)
				pagedReads = nil // a full read across a restore starts over
			},
			"write a lost change again": func(t *rapid.T) {
				if len(lost) == 0 {
					t.Skip()
				}
				e := rapid.SampledFrom(lost).Draw(t, "change")
				if _, exists := store.items[e.Key]; e.Deleted && !exists {
					t.Skip()
				}
				store.write(e)
			},
			"read all": func(t *rapid.T) { copies[pick(t)].Replace(start, store.all()) },
			"watch": func(t *rapid.T) {
				c := copies[pick(t)]
				if c.Revision().Era() != store.era || c.Revision() == 0 {
					t.Skip() // the full copy is read
				}
				c.Apply(start, store.since(c.Revision(), rapid.IntRange(1, 4).Draw(t, "most")))
			},
			"hold back a full read": func(t *rapid.T) { lateReads = append(lateReads, store.all()) },
			"late full read": func(t *rapid.T) {
				if len(lateReads) == 0 {
					t.Skip()
				}
				copies[pick(t)].Replace(start, rapid.SampledFrom(lateReads).Draw(t, "answer"))
			},
			"first page": func(t *rapid.T) {
				split := fmt.Sprint("k", rapid.IntRange(1, 3).Draw(t, "split"))
				pagedReads = append(pagedReads, pagedRead{Batch{Revision: store.revision(), Events: store.page("", split)}, split})
			},
			"second page": func(t *rapid.T) {
				if len(pagedReads) == 0 {
					t.Skip()
				}
				r := rapid.SampledFrom(pagedReads).Draw(t, "reading")
				b := Batch{Revision: r.first.Revision, MaxRevision: store.revision(), Events: append(slices.Clone(r.first.Events), store.page(r.split, "")...)}
				copies[pick(t)].Replace(start, b)
			},
			"watch with a late answer": func(t *rapid.T) {
				c, from := copies[pick(t)], copies[pick(t)]
				b := Batch{Revision: c.Revision()}
				if c.Revision().Era() == store.era {
					b = store.since(c.Revision(), rapid.IntRange(1, 4).Draw(t, "most"))
				}
				if rapid.Bool().Draw(t, "of a peer") {
					var err error
					if b, err = from.Watch(t.Context(), c.Revision(), 0); err != nil {
						t.Skip()
					}
				}
				if c.Revision() > 0 {
					watches = append(watches, lateWatch{c, b})
				}
			},
			"late answer to a watch": func(t *rapid.T) {
				if len(watches) == 0 {
					t.Skip()
				}
				w := rapid.SampledFrom(watches).Draw(t, "watch")
				w.table.Apply(start, w.answer)
			},
			"follow a peer": func(t *rapid.T) {
				from, to := copies[pick(t)], copies[pick(t)]
				b, err := from.Watch(t.Context(), to.Revision(), 0)
				if err == nil && !to.Apply(start, b) {
					err = ErrCompacted
				}
				if errors.Is(err, ErrCompacted) {
					b, err = from.Range(start)
					assert.NilError(t, err)
					to.Replace(start, b)
				}
			},
			"": func(t *rapid.T) {
				states[store.revision()] = store.contents()
				for i, c := range copies {
					if state := states[c.Revision()]; state != nil && c.maxRevision <= c.revision {
						assert.DeepEqual(t, contents(c), state)
					}
					assert.Assert(t, c.Revision() >= lastRevision[i])
					lastRevision[i] = c.Revision()
					if c.Revision() == store.revision() {
						assert.DeepEqual(t, contents(c), store.contents())
					}
				}
				assertDigestsAgree(t, copies)
			},
		})
	})
}

// assertDigestsAgree checks that copies of one revision with the same contents have equal digests.
func assertDigestsAgree(t *rapid.T, copies []*Table) {
	for i, c := range copies {
		digest, revision := c.Digest()
		for _, o := range copies[:i] {
			other, otherRevision := o.Digest()
			if digest != 0 && other != 0 && revision == otherRevision && maps.Equal(contents(c), contents(o)) {
				assert.Equal(t, digest, other)
			}
		}
	}
}
