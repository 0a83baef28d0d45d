package main

import (
	"context"
	"fmt"
	"time"
)

// spoiltDigests ends a day with a loss of power of all machines. In the recovery one answer of the
// origin has a wrong bit: the first list of digests. It checks RECOVER.
func spoiltDigests(rec *record, bin string, trouble bool) (verdict, error) {
	f, err := newFleet(rec, bin, sizes{entries: 5, engines: 12, plain: 0, pieces: 64})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	if err := f.startTargets(); err != nil {
		return failed, err
	}
	f.writeConfig()
	f.declareVersion(1)
	if err := f.prepareProcesses(); err != nil {
		return failed, err
	}
	if err := f.startProcesses(true); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	c := &clients{f: f}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	began := rec.elapsed()
	c.run(ctx, 4, 100*time.Millisecond, chatPath)
	time.Sleep(8 * time.Second)

	f.writeConfig()
	lost := rec.elapsed()
	f.killProcesses()
	for _, e := range f.engines {
		e.cutPower()
	}
	rec.say("platform: all machines have lost power")
	time.Sleep(1100 * time.Millisecond)
	f.proxy.arm(trouble)
	for _, e := range f.engines {
		if err := f.startEngine(e, 0); err != nil {
			return failed, err
		}
	}
	if err := f.startProcesses(false); err != nil {
		return failed, err
	}
	back := rec.elapsed()
	rec.say("platform: all machines are back")
	time.Sleep(recovery + 25*time.Second)
	stop()
	c.wg.Wait()
	c.writeRuns()

	sentBefore, before := c.share(began, lost)
	sentAfter, after := c.share(back+recovery, rec.elapsed())
	answers, spoilt := f.proxy.counts()
	rec.say("origin: %d answers since the machines are back, %d of them spoilt (%.3f)", answers, spoilt, float64(spoilt)/float64(max(answers, 1)))
	for _, e := range f.engines {
		rec.logf("engine at %s: version %d", e.gate.addr(), e.target.Version())
	}
	rec.say("before the final fault: %d requests, %.2f served", sentBefore, before)
	rec.say("later than %v after the machines are back: %d requests, %.2f served", recovery, sentAfter, after)
	if sentBefore == 0 || sentAfter == 0 || before < 0.25 || trouble != (spoilt == 1) {
		return failed, fmt.Errorf("no basis for a verdict")
	}
	if after < 0.25 {
		rec.say("RECOVER is broken")
		return broken, nil
	}
	rec.say("RECOVER holds")
	return held, nil
}
