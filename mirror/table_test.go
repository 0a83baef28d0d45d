package mirror

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

func set(key string, revision Revision) Event {
	return Event{Item: Item{Key: key, Value: fmt.Append(nil, revision), Revision: revision}}
}

func removal(key string, revision Revision) Event {
	return Event{Item: Item{Key: key, Revision: revision}, Deleted: true}
}

// contents returns the values by key.
func contents(t *Table) map[string]string {
	out := map[string]string{}
	items, _ := t.Items()
	for _, i := range items {
		out[i.Key] = string(i.Value)
	}
	return out
}

func TestTableNeverGoesBack(t *testing.T) {
	table := NewTable("")
	table.Replace(start, Batch{Events: []Event{set("a", 5)}, Revision: 6})
	table.Apply(start, Batch{Events: []Event{set("a", 4)}, Revision: 5})
	table.Replace(start, Batch{Events: []Event{set("a", 3)}, Revision: 4})
	assert.DeepEqual(t, contents(table), map[string]string{"a": "5"})
	assert.Equal(t, table.Revision(), Revision(6))
}

func TestReplaceRemovesMissingKeys(t *testing.T) {
	table := NewTable("")
	table.Replace(start, Batch{Events: []Event{set("a", 1), set("b", 2)}, Revision: 2})
	table.Apply(start, Batch{Events: []Event{set("c", 9)}, Revision: 9})
	table.Replace(start, Batch{Events: []Event{set("b", 2)}, Revision: 9})
	assert.DeepEqual(t, contents(table), map[string]string{"b": "2"})
}

func TestWatchForPeer(t *testing.T) {
	table := NewTable("")
	_, err := table.Watch(t.Context(), 0, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
	table.Replace(start, Batch{Events: []Event{set("a", 5)}, Revision: 6})
	_, err = table.Watch(t.Context(), 4, 0)
	assert.ErrorIs(t, err, ErrCompacted, "history before the first read is not available")
	table.Apply(start, Batch{Events: []Event{set("a", 7), removal("a", 8)}, Revision: 8})
	b, err := table.Watch(t.Context(), 6, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Events), 2)
	assert.Equal(t, b.Revision, Revision(8))
}

func TestHistoryIsBounded(t *testing.T) {
	table := NewTable("")
	table.Replace(start, Batch{Revision: 1})
	for r := Revision(2); r < 2+2*maxHistoryLength; r++ {
		table.Apply(start, Batch{Events: []Event{set("a", r)}, Revision: r})
	}
	_, err := table.Watch(t.Context(), 1, 0)
	assert.ErrorIs(t, err, ErrCompacted)
	b, err := table.Watch(t.Context(), 2*maxHistoryLength, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Events), 1)
}

// When a thousand targets register at once, a follower that is slightly behind receives
// their changes and need not read the full copy.
func TestBurstOfChangesFitsIntoHistory(t *testing.T) {
	table := NewTable("")
	table.Replace(start, Batch{Revision: 1})
	for r := Revision(2); r < 1002; r++ {
		e := set(fmt.Sprintf("servers/%d", r), r)
		e.Value = make([]byte, 300)
		table.Apply(start, Batch{Events: []Event{e}, Revision: r})
	}
	b, err := table.Watch(t.Context(), 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Events), 1000)
}

// Configurations are large. The history's memory stays bounded, but the newest change is
// kept whatever its size.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	table := NewTable("")
	table.Replace(start, Batch{Revision: 1})
	for r := Revision(2); r < 12; r++ {
		e := set("config", r)
		e.Value = make([]byte, maxHistoryBytes)
		table.Apply(start, Batch{Events: []Event{e}, Revision: r})
		assert.Assert(t, table.history.size <= 2*maxHistoryBytes)
	}
	b, err := table.Watch(t.Context(), 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Events), 1)
}

// scripted is a source whose responses are computed by functions.
type scripted struct {
	name  string
	watch func(after Revision) (Batch, error)
	all   func() (Batch, error)
}

func (s *scripted) Name() string { return s.name }

func (s *scripted) Range(context.Context, string) (Batch, error) { return s.all() }

func (s *scripted) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) (Batch, error) {
	b, err := s.watch(after)
	if err == nil && len(b.Events) == 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
	return b, err
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// routeFunc is a Route that never signals a change of source; nil selects the store.
type routeFunc func() Source

func (r routeFunc) Source() (Source, <-chan struct{}) {
	if r == nil {
		return nil, nil
	}
	return r(), nil
}

func (routeFunc) StoreReadDelay() time.Duration { return 0 }
func (routeFunc) Backup() bool                  { return false }

// newFollower returns a follower of table with the default Config.
func newFollower(table *Table, store *MonitoredStore, route routeFunc) *Follower {
	return NewFollower(Options{Table: table, Store: store, Route: route, Log: discardLogger(), Stats: NewStats(metrics.NewRegistry())})
}

// The store compacts its history, or changes are too large for a response: the follower reads the full
// copy again.
func TestFollowerReadsTheFullCopyWhereChangesCannotBeRead(t *testing.T) {
	for _, err := range []error{ErrCompacted, ErrOversized} {
		checkFullCopyIsRead(t, err)
	}
}

func checkFullCopyIsRead(t *testing.T, cause error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var reads atomic.Int64
		src := &scripted{name: "store"}
		src.all = func() (Batch, error) {
			if reads.Add(1) == 1 {
				return Batch{Events: []Event{set("a", 1)}, Revision: 1}, nil
			}
			return Batch{Events: []Event{set("a", 9)}, Revision: 9}, nil
		}
		src.watch = func(after Revision) (Batch, error) {
			if after < 9 {
				return Batch{}, cause
			}
			return Batch{Revision: after}, nil
		}
		table := NewTable("")
		f := newFollower(table, NewMonitoredStore(src, discardLogger()), nil)
		go f.Run(ctx)
		time.Sleep(time.Second)
		assert.DeepEqual(t, contents(table), map[string]string{"a": "9"})
		assert.Equal(t, reads.Load(), int64(2))
	})
}

// While the store rejects this process, the process follows a peer; it follows the store again
// once the store has recovered.
func TestFollowerFallsBackToPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var down atomic.Bool
		down.Store(true)
		store := &scripted{name: "store", all: func() (Batch, error) {
			if down.Load() {
				return Batch{}, errors.New("busy")
			}
			return Batch{Events: []Event{set("a", 7)}, Revision: 7}, nil
		}}
		store.watch = func(after Revision) (Batch, error) {
			if down.Load() {
				return Batch{}, errors.New("busy")
			}
			if after < 7 {
				return Batch{Events: []Event{set("a", 7)}, Revision: 7}, nil
			}
			return Batch{Revision: after}, nil
		}
		peer := &scripted{name: "peer", all: func() (Batch, error) { return Batch{Events: []Event{set("a", 3)}, Revision: 3}, nil }}
		peer.watch = func(after Revision) (Batch, error) { return Batch{Revision: max(after, 3)}, nil }
		table := NewTable("")
		monitored := NewMonitoredStore(store, discardLogger())
		f := newFollower(table, monitored, func() Source {
			if monitored.Failing() {
				return peer
			}
			return nil
		})
		go f.Run(ctx)
		time.Sleep(time.Second / 2)
		assert.DeepEqual(t, contents(table), map[string]string{"a": "3"})
		isDown, _ := f.Outage()
		assert.Assert(t, !isDown, "outage reported while a peer confirms the copy")
		down.Store(false)
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, contents(table), map[string]string{"a": "7"})
	})
}

// An outage of all sources is reported, and so is its end.
func TestFollowerReportsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var down atomic.Bool
		src := &scripted{name: "store", all: func() (Batch, error) { return Batch{Revision: 1}, nil }}
		src.watch = func(after Revision) (Batch, error) {
			if down.Load() {
				return Batch{}, errors.New("down")
			}
			return Batch{Revision: after}, nil
		}
		f := newFollower(NewTable(""), NewMonitoredStore(src, discardLogger()), nil)
		go f.Run(ctx)
		time.Sleep(3 * time.Second)
		isDown, ended := f.Outage()
		assert.Assert(t, !isDown && ended.IsZero())
		down.Store(true)
		time.Sleep(4 * time.Second)
		isDown, _ = f.Outage()
		assert.Assert(t, isDown)
		down.Store(false)
		time.Sleep(4 * time.Second)
		isDown, ended = f.Outage()
		assert.Assert(t, !isDown && !ended.IsZero())
	})
}

// Seven entries start together and read the full copy, 1 MB, over one link of 27 Mbit/s.
// All reads complete, although a read that times out wastes the bandwidth it used.
func TestFullReadOverSharedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		link := &sharedLink{}
		var tables []*Table
		for range 7 {
			table := NewTable("")
			tables = append(tables, table)
			go newFollower(table, NewMonitoredStore(link, discardLogger()), nil).Run(ctx)
		}
		time.Sleep(4 * time.Second)
		for _, table := range tables {
			assert.Equal(t, table.Revision(), Revision(7))
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// sharedLink is a store whose concurrent range reads share the bandwidth of one link.
type sharedLink struct{ readers atomic.Int64 }

// copyTime is the time that a copy of 1 MB takes when the link is not shared.
const copyTime = 300 * time.Millisecond

func (*sharedLink) Name() string { return "store" }

func (l *sharedLink) Range(ctx context.Context, _ string) (Batch, error) {
	l.readers.Add(1)
	defer l.readers.Add(-1)
	const step = 10 * time.Millisecond
	for left := copyTime; left > 0; left -= step / time.Duration(l.readers.Load()) {
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
	return Batch{Revision: 7}, nil
}

func (*sharedLink) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) (Batch, error) {
	select {
	case <-time.After(wait):
		return Batch{Revision: after}, nil
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

// A watch whose connection was dropped silently ends by the follower's own timeout.
func TestHangingWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		src := &hanging{}
		table := NewTable("")
		f := newFollower(table, NewMonitoredStore(src, discardLogger()), nil)
		go f.Run(ctx)
		time.Sleep(4 * time.Second)
		assert.Assert(t, src.calls.Load() >= 2)
	})
}

// hanging is a source whose watches never answer.
type hanging struct{ calls atomic.Int64 }

func (h *hanging) Name() string { return "hanging" }

func (h *hanging) Range(context.Context, string) (Batch, error) { return Batch{Revision: 1}, nil }

func (h *hanging) Watch(ctx context.Context, _ string, _ Revision, _ time.Duration) (Batch, error) {
	h.calls.Add(1)
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

// A peer that cannot reach the store has a stale copy. A follower of that peer must read the
// store itself.
func TestFollowerReadsStoreWhenPeerIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peer := &scripted{name: "peer", all: func() (Batch, error) { return Batch{Events: []Event{set("a", 3)}, Revision: 3}, nil }}
		peer.watch = func(after Revision) (Batch, error) { return Batch{Revision: after, Age: 10 * time.Second}, nil }
		store := &scripted{name: "store"}
		store.watch = func(after Revision) (Batch, error) {
			if after < 7 {
				return Batch{Events: []Event{set("a", 7)}, Revision: 7}, nil
			}
			return Batch{Revision: after}, nil
		}
		table := NewTable("")
		f := newFollower(table, NewMonitoredStore(store, discardLogger()), func() Source { return peer })
		go f.Run(ctx)
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, contents(table), map[string]string{"a": "7"})
		down, _ := f.Outage()
		assert.Assert(t, !down)
	})
}

// paidSource is a billed source with a change for each watch.
type paidSource struct{ calls []time.Time }

func (*paidSource) Name() string { return "paid" }
func (*paidSource) Paid() bool   { return true }
func (*paidSource) Range(context.Context, string) (Batch, error) {
	return Batch{Revision: 1}, nil
}

func (p *paidSource) Watch(_ context.Context, _ string, after Revision, _ time.Duration) (Batch, error) {
	p.calls = append(p.calls, time.Now())
	return Batch{Events: []Event{{Item: Item{Key: "k", Revision: after + 1}}}, Revision: after + 1}, nil
}

// In a burst of changes, watches are at least MinWatchInterval apart.
func TestBurstOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &paidSource{}
		f := newFollower(NewTable(""), NewMonitoredStore(src, discardLogger()), nil)
		ctx, cancel := context.WithTimeout(t.Context(), 1900*time.Millisecond)
		defer cancel()
		f.Run(ctx)
		assert.Equal(t, len(src.calls), 10)
	})
}
