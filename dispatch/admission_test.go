package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	tight = 250 * time.Millisecond
	loose = 1500 * time.Millisecond
)

func asked(objective time.Duration, s Standing) Demand {
	d := demand()
	d.Objective, d.Standing = objective, s
	return d
}

// verdict is what a request is told, without being counted.
func verdict(b *Balancer, d Demand) Verdict {
	c, v := b.Pick(start, testService, d, nil)
	if v == Chosen {
		b.Cancel(c.Target, d)
	}
	return v
}

func TestAllKindsAcceptTheSameWait(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 18}})
	b.RecordArrival(start, testService, asked(loose, Fresh))
	assert.Equal(t, verdict(b, asked(loose, Fresh)), Chosen, "alone it may wait for longer")
	b.RecordArrival(start, testService, asked(tight, Fresh))
	assert.Equal(t, verdict(b, asked(tight, Fresh)), Saturated)
	assert.Equal(t, verdict(b, asked(loose, Fresh)), Saturated, "it would keep the tight ones out")
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 15}})
	assert.Equal(t, verdict(b, asked(tight, Fresh)), Chosen)
	assert.Equal(t, verdict(b, asked(loose, Fresh)), Chosen)
}

func TestAllKindsWaitEquallyLongAtTheEntry(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	assert.Equal(t, b.RecordArrival(start, testService, asked(loose, Fresh)), loose)
	assert.Equal(t, b.RecordArrival(start, testService, asked(tight, Fresh)), tight)
	assert.Equal(t, b.RecordArrival(start, testService, asked(loose, Fresh)), tight)
	assert.Equal(t, b.RecordArrival(start, "other", asked(loose, Overdue)), loose)
}

func TestLargePromptsAcceptTheSameWait(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 15}})
	large := demand()
	large.Prompt = 3500
	b.RecordArrival(start, testService, demand())
	assert.Equal(t, verdict(b, large), Chosen)
}

// A prompt whose reading alone makes the others pause for too long is let in when
// no other is being read; else it would be refused for ever.
func TestPromptThatTakesLongToReadIsNotShutOut(t *testing.T) {
	m := engineModel()
	m.PrefillRate /= 20
	b := book(m, Config{}, engine(1, 1))
	d := asked(4*time.Second, Fresh)
	assert.Equal(t, verdict(b, d), Chosen)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 3, PendingPrefill: 500}})
	assert.Equal(t, verdict(b, d), Saturated)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 3}})
	assert.Equal(t, verdict(b, d), Chosen)
}

// A near target costs less, but one that is full is no reason to refuse while a
// remote one has room.
func TestRemoteTargetIsTakenIfTheNearOneIsFull(t *testing.T) {
	near, remote := engine(1, 1), engine(2, 1)
	remote.Domain = "b"
	b := book(engineModel(), Config{RemoteCost: time.Second}, near, remote)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 20}})
	assert.Equal(t, picked(b, start), "i-2")
}

func TestOverdueCallersGetWhatFreshOnesLeave(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	b.RecordArrival(start, testService, demand())
	d := demand()
	d.Standing = Overdue
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 17}})
	assert.Equal(t, verdict(b, d), Chosen, "no fresh request was refused")
	b.RecordRefusal(start, testService, demand())
	assert.Equal(t, verdict(b, demand()), Chosen)
	assert.Equal(t, verdict(b, d), Saturated)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 14}})
	assert.Equal(t, verdict(b, d), Saturated, "the last two slots are left free")
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 13}})
	assert.Equal(t, verdict(b, d), Chosen)
}

func TestBegunStreamsAreResumedAtLoadedTargets(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 20}})
	assert.Equal(t, verdict(b, demand()), Saturated)
	d := demand()
	d.Standing = Resumed
	assert.Equal(t, verdict(b, d), Chosen)
}

// An objective that no target can keep is no reason to serve nobody.
func TestTargetThatBeginsAtOnceIsNotRefused(t *testing.T) {
	d := demand()
	d.Objective = time.Millisecond
	b := book(engineModel(), Config{}, engine(1, 1))
	b.RecordArrival(start, testService, d)
	assert.Equal(t, verdict(b, d), Chosen)
	p := book(nil, Config{}, plain(1))
	p.RecordArrival(start, testService, d)
	assert.Equal(t, verdict(p, d), Chosen)
}

func TestObjectivesOfTheLastSecondsCount(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 18}})
	b.RecordArrival(start, testService, asked(tight, Fresh))
	for range 10 {
		b.RecordArrival(start, testService, asked(loose, Fresh))
	}
	assert.Equal(t, verdict(b, asked(loose, Fresh)), Saturated)
	for range 10 {
		b.RecordArrival(start.Add(6*demandHalfLife), testService, asked(loose, Fresh))
	}
	assert.Equal(t, verdict(b, asked(loose, Fresh)), Chosen, "the tight route is not used any more")
	b.RecordArrival(start.Add(time.Hour), testService, asked(loose, Fresh))
	assert.Equal(t, len(b.demands[testService].seen), 1)
}
