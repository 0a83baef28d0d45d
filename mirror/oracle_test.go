package mirror

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model is the reference model of the store: its keys and all its changes.
type model struct {
	items   map[string]Event
	changes []Event
}

func (m *model) revision() Revision { return Revision(len(m.changes)) + 1 }

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
// late responses. No copy may go back to an older revision, and each agrees with the store
// once it has reached the store's revision.
func TestMirrorOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &model{items: map[string]Event{}}
		copies := []*Table{NewTable(""), NewTable(""), NewTable("")}
		lastRevision := make([]Revision, len(copies))
		lateReads := []Batch{}
		var pagedReads []pagedRead
		var watches []lateWatch
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(copies)-1).Draw(t, "copy") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				e := Event{Item: Item{Key: key, Revision: store.revision() + 1}}
				_, exists := store.items[key]
				if exists && rapid.Bool().Draw(t, "delete") {
					e.Deleted = true
					delete(store.items, key)
				} else {
					e.Value = fmt.Append(nil, e.Revision)
					store.items[key] = e
				}
				store.changes = append(store.changes, e)
			},
			"read all": func(t *rapid.T) { copies[pick(t)].Replace(start, store.all()) },
			"watch": func(t *rapid.T) {
				c := copies[pick(t)]
				if c.Revision() == 0 {
					t.Skip()
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
				b := store.since(c.Revision(), rapid.IntRange(1, 4).Draw(t, "most"))
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
				switch {
				case err == nil:
					to.Apply(start, b)
				case errors.Is(err, ErrCompacted):
					b, err = from.Range(start)
					assert.NilError(t, err)
					to.Replace(start, b)
				}
			},
			"": func(t *rapid.T) {
				for i, c := range copies {
					assert.Assert(t, c.Revision() >= lastRevision[i])
					lastRevision[i] = c.Revision()
					if c.Revision() == store.revision() {
						assert.DeepEqual(t, contents(c), store.contents())
					}
				}
			},
		})
	})
}
