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

// Timing of the faults.
const (
	// meanFaultInterval is the mean time between the starts of two faults. Faults last
	// longer, so some overlap.
	meanFaultInterval = 500 * time.Millisecond
	// settleTime is how long a fault may still have effects after its end: streams and
	// connections that it broke are detected by timeouts.
	settleTime = 4 * time.Second
)

// fault is one kind of fault. inject returns when the fault is over.
type fault struct {
	name   string // matched by -soak.only
	inject func(f *Fleet, rng *rand.Rand, d time.Duration)
}

// faults are the kinds of fault that last for the duration given to inject, or that happen
// at once, such as a restart of a target.
var faults = []fault{
	{"entry killed", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.entries), d, true) }},
	{"entry stopped", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.entries), d, false) }},
	{"entry paused", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.pause(pick(rng, f.entries), d) }},
	{"agent killed", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.agents), d, true) }},
	{"agent stopped", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.restart(pick(rng, f.agents), d, false) }},
	{"agent paused", func(f *Fleet, rng *rand.Rand, d time.Duration) { f.pause(pick(rng, f.agents), d) }},
	{"settings changed", func(f *Fleet, rng *rand.Rand, _ time.Duration) {
		if err := pick(rng, f.entries).Reload(); err != nil {
			f.logf("writing the settings failed: %v", err)
		}
	}},
	{"link to the store", func(f *Fleet, rng *rand.Rand, d time.Duration) {
		f.breakStoreLink(rng.IntN(len(f.storeLinks)), randomFaultMode(rng), d)
	}},
	{"link to a target", func(f *Fleet, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(len(f.targetLinks))
		f.markTargetFaulty(f.targets()[i], d+settleTime)
		f.targetLinks[i].Break(randomFaultMode(rng), d)
	}},
	{"store", func(f *Fleet, rng *rand.Rand, d time.Duration) {
		f.reachability.faultBegan()
		defer f.reachability.faultEnded()
		f.store.SetMode([]fake.StoreMode{fake.StoreBusy, fake.StoreReset, fake.StoreSlow}[rng.IntN(3)])
		time.Sleep(d)
		f.store.SetMode(fake.StoreHealthy)
	}},
	{"store's history", func(f *Fleet, _ *rand.Rand, _ time.Duration) { f.store.Compact() }},
	{"target's answers", func(f *Fleet, rng *rand.Rand, d time.Duration) {
		var flags []*atomic.Bool
		for _, t := range f.targets() {
			if rng.IntN(2) == 0 {
				continue
			}
			f.markTargetFaulty(t, d+settleTime)
			flags = append(flags, pick(rng, []*atomic.Bool{&t.Faults.Truncate, &t.Faults.ExtraResponse, &t.Faults.Refuse, &t.Faults.Fail}))
		}
		setAll(flags, true)
		time.Sleep(d)
		setAll(flags, false)
	}},
	{"target restarted", func(f *Fleet, rng *rand.Rand, _ time.Duration) {
		t := pick(rng, f.targets())
		f.markTargetFaulty(t, settleTime)
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

// onceFaults are injected once in a run, each at a random time, in addition to the faults
// that injectFaults draws at random. They have random number generators of
// their own, so that adding a kind to this list does not change the faults that are drawn
// for a seed.
var onceFaults = []fault{{"request crashes targets", sendCrashingRequests}, {"targets name limits", announceLimits},
	{"targets say that they leave", announceLeaving}, {"targets ask for rest", requestBackoff}, {"targets pause", pauseTargets},
	{"store restored", restoreStore}, {"a team asks for too much", sendBulk}, {"incomplete uploads", sendIncompleteUploads},
	{"entries restart while targets refuse", restartWhileTargetsRefuse}, {"part of prompts crashes targets", sendCrashingPrompts},
	{"targets crash in series", crashInSeries}}

// injectOnceFaults starts the onceFaults.
func (f *Fleet) injectOnceFaults(running *sync.WaitGroup, count map[string]int) {
	if f.cfg.SkipOnceFaults {
		return
	}
	rng := rand.New(rand.NewPCG(f.cfg.Seed, 2))
	for _, x := range matching(f.cfg.Only, onceFaults) {
		after := time.Duration(rng.Int64N(int64(f.cfg.Duration)))
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		count[x.name]++
		running.Go(func() {
			time.Sleep(after)
			f.logf("%s", x.name)
			x.inject(f, own, 0)
		})
	}
}

func setAll(flags []*atomic.Bool, on bool) {
	for _, x := range flags {
		x.Store(on)
	}
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

// chooser draws kinds of fault at random.
type chooser struct{ short, long []fault }

// newChooser returns a chooser among the kinds whose name matches only; nil matches all.
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

// draw returns a kind of fault and whether it is a long one. Long ones are drawn twice as
// often as others, because a long fault is skipped while another of its kind is running.
func (c chooser) draw(rng *rand.Rand) (x fault, long bool) {
	i := rng.IntN(len(c.short) + 2*len(c.long))
	if i < len(c.short) {
		return c.short[i], false
	}
	return c.long[(i-len(c.short))%len(c.long)], true
}

// injectFaults injects faults, one after another and overlapping, for the run's duration
// and returns how many of each kind were drawn. All faults are over when injectFaults
// returns.
func (f *Fleet) injectFaults(ctx context.Context) map[string]int {
	count := map[string]int{}
	busy := map[string]*sync.Mutex{} // by kind: a fault waits for the previous one of its kind, or is skipped if it is long
	choice := newChooser(f.cfg.Only)
	for _, x := range slices.Concat(choice.short, choice.long) {
		busy[x.name] = &sync.Mutex{}
	}
	var running sync.WaitGroup
	f.injectOnceFaults(&running, count)
	f.injectWeightFaults(&running, count)
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
			x.inject(f, rng, d)
		})
		time.Sleep(time.Duration(f.rng.ExpFloat64() * float64(meanFaultInterval)))
	}
	running.Wait()
	return count
}

// restart stops a process, by SIGKILL if kill is set and gracefully otherwise, and starts
// it again d/4 later.
func (f *Fleet) restart(p *Process, d time.Duration, kill bool) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.reachability.faultBegan()
	defer p.reachability.faultEnded()
	if kill {
		p.MarkFaulty(d + settleTime)
		p.Kill()
	} else {
		p.Signal(syscall.SIGTERM)
		if !p.Wait(shutdownGrace) {
			p.MarkFaulty(settleTime)
			p.Kill()
		}
	}
	time.Sleep(d / 4)
	if err := p.Start(); err != nil {
		f.logf("starting %s failed: %v", p.node.Name, err)
	}
}

func (f *Fleet) pause(p *Process, d time.Duration) {
	p.MarkFaulty(d + settleTime)
	p.reachability.faultBegan()
	defer p.reachability.faultEnded()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}
