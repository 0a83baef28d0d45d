package soak

import (
	"context"
	"math/rand/v2"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Shape of the faults.
const (
	// meanPause is the mean time between two faults. They last longer, so some
	// overlap.
	meanPause = 500 * time.Millisecond
	// aftermath is how long a fault may still show after its end: streams and
	// connections that it broke are noticed by timeouts.
	aftermath = 4 * time.Second
)

// fault is one kind of fault. Its func returns when the fault is over.
type fault struct {
	name string
	do   func(f *Fleet, rng *rand.Rand, d time.Duration)
}

// faults last for the time that they are given.
var faults = []fault{
	{"entry killed", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.entries), d, true) }},
	{"entry stopped", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.entries), d, false) }},
	{"entry paused", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.pause(pick(rng, f.entries), d) }},
	{"agent killed", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.agents), d, true) }},
	{"agent stopped", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.agents), d, false) }},
	{"agent paused", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.pause(pick(rng, f.agents), d) }},
	{"settings changed", func(f *Fleet, rng *rand.Rand, _ time.Duration) {
		if err := pick(rng, f.entries).Reload(); err != nil {
			f.logf("settings not written: %v", err)
		}
	}},
	{"link to the store", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.cutEntry(rng.IntN(len(f.links)), anyMode(rng), d) }},
	{"link to a target", func(f *Fleet, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(len(f.ways))
		f.troubleTarget(f.targets()[i], d+aftermath)
		f.ways[i].Break(anyMode(rng), d)
	}},
	{"store", func(f *Fleet, rng *rand.Rand, d time.Duration) {
		f.contact.lose()
		defer f.contact.regain()
		f.store.SetMode([]fake.StoreMode{fake.StoreBusy, fake.StoreReset, fake.StoreSlow}[rng.IntN(3)])
		time.Sleep(d)
		f.store.SetMode(fake.StoreWorks)
	}},
	{"store's history", func(f *Fleet, _ *rand.Rand, _ time.Duration) { f.store.Forget() }},
	{"target's answers", func(f *Fleet, rng *rand.Rand, d time.Duration) {
		var flags []*atomic.Bool
		for _, t := range f.targets() {
			if rng.IntN(2) == 0 {
				continue
			}
			f.troubleTarget(t, d+aftermath)
			flags = append(flags, pick(rng, []*atomic.Bool{&t.Faults.Truncate, &t.Faults.Extra, &t.Faults.Full, &t.Faults.Fail}))
		}
		setAll(flags, true)
		time.Sleep(d)
		setAll(flags, false)
	}},
	{"target restarted", func(f *Fleet, rng *rand.Rand, _ time.Duration) {
		t := pick(rng, f.targets())
		f.troubleTarget(t, aftermath)
		t.Restart()
	}},
	{"origin away", func(f *Fleet, _ *rand.Rand, d time.Duration) {
		f.origin.Down.Store(true)
		time.Sleep(d)
		f.origin.Down.Store(false)
	}},
	{"origin corrupt", func(f *Fleet, _ *rand.Rand, d time.Duration) {
		f.origin.Corrupt.Store(3)
		time.Sleep(d)
		f.origin.Corrupt.Store(0)
	}},
	{"configuration", func(f *Fleet, _ *rand.Rand, _ time.Duration) { f.nextConfig() }},
	{"version", func(f *Fleet, _ *rand.Rand, _ time.Duration) { f.nextVersion() }},
}

// asideFaults come beside those that are drawn, once in a run and at any moment of it.
// Their draws are their own, so that the course of a seed stays when one is added.
var asideFaults = []fault{{"request crashes targets", crashingRequest}, {"targets name limits", limitsNamed},
	{"targets say that they leave", leavingSaid}, {"targets ask for rest", restAsked}}

// breakAside begins the faults beside those that are drawn.
func (f *Fleet) breakAside(running *sync.WaitGroup, count map[string]int) {
	if f.cfg.SkipOnceFaults {
		return
	}
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 2))
	for _, x := range matching(f.cfg.Only, asideFaults) {
		after := time.Duration(rng.Int64N(int64(f.cfg.Duration)))
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		count[x.name]++
		running.Go(func() {
			time.Sleep(after)
			f.logf("%s", x.name)
			x.do(f, own, 0)
		})
	}
}

func setAll(flags []*atomic.Bool, on bool) {
	for _, x := range flags {
		x.Store(on)
	}
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// chooser draws kinds of fault.
type chooser struct{ short, long []fault }

// newChooser returns a chooser of the kinds whose name matches; nil matches all.
func newChooser(only *regexp.Regexp) chooser {
	return chooser{matching(only, faults), matching(only, longFaults)}
}

func matching(only *regexp.Regexp, list []fault) (out []fault) {
	for _, x := range list {
		if only == nil || only.MatchString(x.name) {
			out = append(out, x)
		}
	}
	return out
}

func (c chooser) empty() bool { return len(c.short)+len(c.long) == 0 }

// draw returns a kind of fault and whether it is a long one. A long one comes
// twice as often as another, as it may be left out.
func (c chooser) draw(rng *rand.Rand) (x fault, long bool) {
	i := rng.IntN(len(c.short) + 2*len(c.long))
	if i < len(c.short) {
		return c.short[i], false
	}
	return c.long[(i-len(c.short))%len(c.long)], true
}

// breakThings injects faults, in series and overlapping, for the run's duration
// and returns how many of each there were. All are over when it returns.
func (f *Fleet) breakThings(ctx context.Context) map[string]int {
	count := map[string]int{}
	busy := map[string]*sync.Mutex{} // a kind of fault waits for the last of its kind, or is left out if it is long
	choice := newChooser(f.cfg.Only)
	for _, x := range slices.Concat(choice.short, choice.long) {
		busy[x.name] = &sync.Mutex{}
	}
	var running sync.WaitGroup
	f.breakAside(&running, count)
	for end := time.Now().Add(f.cfg.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		if choice.empty() {
			time.Sleep(time.Until(end))
			break
		}
		x, long := choice.draw(f.rng)
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))
		d := 200*time.Millisecond + time.Duration(f.rng.Int64N(int64(1500*time.Millisecond)))
		count[x.name]++
		f.logf("%s for %v", x.name, d.Round(time.Millisecond))
		running.Go(func() {
			if !long {
				busy[x.name].Lock()
			} else if !busy[x.name].TryLock() {
				return
			}
			defer busy[x.name].Unlock()
			x.do(f, rng, d)
		})
		time.Sleep(time.Duration(f.rng.ExpFloat64() * float64(meanPause)))
	}
	running.Wait()
	return count
}

// restart ends a process, by its own orderly stop or at once, and starts it
// again.
func (f *Fleet) restart(p *Process, after time.Duration, kill bool) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.contact.lose()
	defer p.contact.regain()
	if kill {
		p.MarkFaulty(after + aftermath)
		p.Kill()
	} else {
		p.Signal(syscall.SIGTERM)
		if !p.Wait(grace) {
			p.MarkFaulty(aftermath)
			p.Kill()
		}
	}
	time.Sleep(after / 4)
	if err := p.Start(); err != nil {
		f.logf("%s not started: %v", p.node.Name, err)
	}
}

func (f *Fleet) pause(p *Process, d time.Duration) {
	p.MarkFaulty(d + aftermath)
	p.contact.lose()
	defer p.contact.regain()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}
