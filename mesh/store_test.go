package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/mirror"
)

// fault is a fault of one entry or of its calls to the store.
type fault string

const (
	healthy fault = ""
	silent  fault = "silent"  // no call is answered, not even watches in progress
	refused fault = "refused" // watches in progress are answered, new calls fail at once
	reset   fault = "reset"   // all calls fail at once, also watches in progress
	killed  fault = "killed"  // the entry is killed
	frozen  fault = "frozen"  // the entry hangs, its connections stay open
)

var errFault = errors.New("store does not answer")

// storeView is the store as one entry reaches it. It implements mirror.Source.
type storeView struct {
	compacted *atomic.Int64 // see entries.compacted

	mu          sync.Mutex
	store       *mirror.Table
	fault       fault
	changed     chan struct{} // closed when fault changes
	calls       []time.Time   // start times of the calls
	ranges      int
	answerDelay func() time.Duration // delay between making and returning an answer; nil for none
}

func (*storeView) Name() string { return "store" }
func (*storeView) Paid() bool   { return true }

func (v *storeView) state() (fault, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault, v.changed
}

// current returns the store's content, which is another after a restore.
func (v *storeView) current() *mirror.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.store
}

func (v *storeView) set(f fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
	close(v.changed)
	v.changed = make(chan struct{})
}

// callsSince returns how many calls began after t.
func (v *storeView) callsSince(t time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, c := range v.calls {
		if c.After(t) {
			n++
		}
	}
	return n
}

// lastCall returns when the last call began; zero if there was none.
func (v *storeView) lastCall() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.calls) == 0 {
		return time.Time{}
	}
	return v.calls[len(v.calls)-1]
}

// call returns the result of f unless the fault prevents it.
func (v *storeView) call(ctx context.Context, f func(context.Context) (mirror.Batch, error)) (mirror.Batch, error) {
	v.mu.Lock()
	v.calls = append(v.calls, time.Now())
	v.mu.Unlock()
	switch now, _ := v.state(); now {
	case silent:
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	case refused, reset:
		return mirror.Batch{}, errFault
	}
	type answer struct {
		b   mirror.Batch
		err error
	}
	answered := make(chan answer, 1)
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		b, err := f(inner)
		b.Age = 0
		v.delayAnswer()
		answered <- answer{b, err}
	}()
	for {
		now, changed := v.state()
		switch now {
		case silent:
			<-ctx.Done()
			return mirror.Batch{}, ctx.Err()
		case reset:
			return mirror.Batch{}, errFault
		}
		select {
		case a := <-answered:
			return a.b, a.err
		case <-changed:
		}
	}
}

// delayAnswer delays an answer that is already made.
func (v *storeView) delayAnswer() {
	v.mu.Lock()
	hold := v.answerDelay
	v.mu.Unlock()
	if hold != nil {
		time.Sleep(hold())
	}
}

// storeRanges returns how many whole copies entries have read from the store since they started.
func storeRanges(list []*entry) (n int) {
	for _, e := range list {
		e.view.mu.Lock()
		n += e.view.ranges
		e.view.mu.Unlock()
	}
	return n
}

func (v *storeView) Range(ctx context.Context, _ string) (mirror.Batch, error) {
	v.mu.Lock()
	v.ranges++
	v.mu.Unlock()
	return v.call(ctx, func(context.Context) (mirror.Batch, error) { return v.pages() })
}

// pages reads all items in two pages, the second later than the first, because the store's
// pages are not a snapshot.
func (v *storeView) pages() (mirror.Batch, error) {
	store := v.current()
	first, err := store.Range(time.Now())
	if err != nil {
		return mirror.Batch{}, err
	}
	v.delayAnswer()
	second, err := store.Range(time.Now())
	onFirst := func(e mirror.Event) bool { return e.Key < secondPage }
	out := mirror.Batch{Revision: first.Revision, MaxRevision: second.Revision}
	out.Events = append(out.Events, slices.DeleteFunc(first.Events, func(e mirror.Event) bool { return !onFirst(e) })...)
	out.Events = append(out.Events, slices.DeleteFunc(second.Events, onFirst)...)
	return out, err
}

// secondPage is the first key of the second page.
const secondPage = "servers/10"

func (v *storeView) Watch(ctx context.Context, _ string, after mirror.Revision, wait time.Duration) (mirror.Batch, error) {
	return v.call(ctx, func(ctx context.Context) (mirror.Batch, error) {
		if after < mirror.Revision(v.compacted.Load()) {
			return mirror.Batch{}, mirror.ErrCompacted
		}
		return v.current().Watch(ctx, after, wait)
	})
}
