package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

const (
	memoryLimit = memoryMb << 20
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 200 * time.Millisecond
	memoryPoll   = 20 * time.Millisecond
	// garbleFor is how long the target is faulty: for_s of garble among the troubles of the site.
	garbleFor = 5500 * time.Millisecond
	// faultyTargets is how many of the targets give garbled answers: 0.33 of them.
	faultyTargets = 2
	// eventGap is the time between two events of the targets: 8 of them take as long as the 21 of the
	// site's mean stream, each five steps of 8.87 ms.
	eventGap = 115 * time.Millisecond
	// clientsEach is the number of clients of each entry; together they send 165 requests a second,
	// as the site's clients do.
	clientsEach = 33
)

// flood lets two of six targets answer some requests with bytes that are not a response. It
// checks LOST.
func flood(rec *record, bin string, trouble bool) (verdict, error) {
	f, err := newFleet(rec, bin, sizes{entries: 5, plain: 6, pieces: 64})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return failed, err
	}
	if err := f.startTargets(); err != nil {
		return failed, err
	}
	f.plainKind = fake.KindUnsafe
	for _, p := range f.padded {
		p.eventGap = eventGap
	}
	f.writeConfig()
	if err := f.prepareProcesses(); err != nil {
		return failed, err
	}
	if err := f.startProcesses(true); err != nil {
		return failed, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var ends atomic.Int64
	for _, p := range f.entries {
		go limitMemory(ctx, rec, p, &ends)
	}
	time.Sleep(contact + 2*time.Second)
	c := &clients{f: f}
	c.run(ctx, clientsEach, 60*time.Millisecond, plainStreamPath)
	time.Sleep(3 * time.Second)
	if trouble {
		for _, p := range f.padded[:faultyTargets] {
			p.garble(true)
			rec.say("target at %s: 1 of %d answers is bytes that are not a response", p.addr(), garbledPart)
		}
	}
	time.Sleep(garbleFor)
	for _, p := range f.padded[:faultyTargets] {
		p.garble(false)
	}
	time.Sleep(2 * time.Second)
	stop()
	c.wg.Wait()
	c.writeRuns()
	answers, garbled := 0, 0
	for _, p := range f.padded[:faultyTargets] {
		a, g := p.counts()
		answers, garbled = answers+a, garbled+g
	}
	rec.say("faulty targets: %d answers, %d of them garbled", answers, garbled)
	lost := c.lost()
	rec.say("%d processes ended over their memory; %d requests run by a sound engine were not answered", ends.Load(), lost)
	if len(c.all) == 0 || trouble != (garbled > 0) {
		return failed, fmt.Errorf("no basis for a verdict")
	}
	if lost > lostAllowed {
		rec.say("LOST is broken")
		return broken, nil
	}
	rec.say("LOST holds")
	return held, nil
}

// lost returns how many requests came on a kept connection, ran at a target that was sound, and got
// no answer.
func (c *clients) lost() (n int) {
	for _, o := range c.all {
		for _, run := range c.f.log.Executions(o.id) {
			if o.kept && o.status == 0 && !c.f.faulty(run) {
				n++
				break
			}
		}
	}
	return n
}

// limitMemory ends a process that holds more memory than its machine has, as the platform does, and
// starts it again.
func limitMemory(ctx context.Context, rec *record, p *process, ends *atomic.Int64) {
	for ctx.Err() == nil {
		time.Sleep(memoryPoll)
		rss := p.resident()
		if rss <= memoryLimit {
			continue
		}
		ends.Add(1)
		rec.say("platform: %s holds %d MB and is killed", p.node.Name, rss>>20)
		p.kill()
		time.Sleep(restartDelay)
		if ctx.Err() == nil && p.start() != nil {
			return
		}
	}
}

// resident returns the resident memory of the process in bytes.
func (p *process) resident() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(syscall.Getpagesize())
}

// faulty reports whether a run was at a target that gave garbled answers.
func (f *fleet) faulty(run string) bool {
	for _, p := range f.padded[:faultyTargets] {
		if strings.HasPrefix(run, p.instance()) {
			return true
		}
	}
	return false
}
