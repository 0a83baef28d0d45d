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

func demandWith(objective time.Duration, s Standing) Demand {
	d := demand()
	d.Objective, d.Standing = objective, s
	return d
}

// verdict returns the verdict on a request without counting it.
func verdict(b *Balancer, d Demand) Verdict {
	c, v := b.Pick(start, testService, d, nil)
	if v == Chosen {
		b.Cancel(c.Target, d)
	}
	return v
}

func TestAllObjectivesAcceptTheSameWait(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 18}})
	b.RecordArrival(start, testService, demandWith(loose, Fresh))
	assert.Equal(t, verdict(b, demandWith(loose, Fresh)), Chosen, "without tight objectives a longer wait is accepted")
	b.RecordArrival(start, testService, demandWith(tight, Fresh))
	assert.Equal(t, verdict(b, demandWith(tight, Fresh)), Saturated)
	assert.Equal(t, verdict(b, demandWith(loose, Fresh)), Saturated, "loose requests must not starve tight ones")
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 15}})
	assert.Equal(t, verdict(b, demandWith(tight, Fresh)), Chosen)
	assert.Equal(t, verdict(b, demandWith(loose, Fresh)), Chosen)
}

func TestTightestObjectiveAppliesToTheService(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	assert.Equal(t, b.RecordArrival(start, testService, demandWith(loose, Fresh)), loose)
	assert.Equal(t, b.RecordArrival(start, testService, demandWith(tight, Fresh)), tight)
	assert.Equal(t, b.RecordArrival(start, testService, demandWith(loose, Fresh)), tight)
	assert.Equal(t, b.RecordArrival(start, "other", demandWith(loose, Overdue)), loose)
}

func TestLargePromptsAcceptTheSameWait(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 15}})
	large := demand()
	large.Prompt = 3500
	b.RecordArrival(start, testService, demand())
	assert.Equal(t, verdict(b, large), Chosen)
}

// A prompt whose prefill alone exceeds the maximum gap of other streams is accepted when no
// other prompt is pending. Otherwise it would be refused forever.
func TestLongPromptIsNotStarved(t *testing.T) {
	m := engineModel()
	m.PrefillRate /= 20
	b := newTestBalancer(m, Config{}, engine(1, 1))
	d := demandWith(4*time.Second, Fresh)
	assert.Equal(t, verdict(b, d), Chosen)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 3, PendingPrefill: 500}})
	assert.Equal(t, verdict(b, d), Saturated)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 3}})
	assert.Equal(t, verdict(b, d), Chosen)
}

// A target in the same failure domain costs less, but if it is full, a request is sent to a
// remote one with capacity and not refused.
func TestRemoteTargetIsChosenIfTheLocalOneIsFull(t *testing.T) {
	local, remote := engine(1, 1), engine(2, 1)
	remote.Domain = "b"
	b := newTestBalancer(engineModel(), Config{RemoteCost: time.Second}, local, remote)
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 20}})
	assert.Equal(t, picked(b, start), "i-2")
}

func TestOverdueRequestsGetRemainingCapacity(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
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

func TestStartedStreamsAreResumedAtLoadedTargets(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 20}})
	assert.Equal(t, verdict(b, demand()), Saturated)
	d := demand()
	d.Standing = Resumed
	assert.Equal(t, verdict(b, d), Chosen)
}

// A request whose objective no target can meet is still served if a target can start on it
// immediately.
func TestIdleTargetIsNeverSaturated(t *testing.T) {
	d := demand()
	d.Objective = time.Millisecond
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	b.RecordArrival(start, testService, d)
	assert.Equal(t, verdict(b, d), Chosen)
	p := newTestBalancer(nil, Config{}, plain(1))
	p.RecordArrival(start, testService, d)
	assert.Equal(t, verdict(p, d), Chosen)
}

func TestOldObjectivesDecay(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("other", map[string]Load{"i-1": {Requests: 18}})
	b.RecordArrival(start, testService, demandWith(tight, Fresh))
	for range 10 {
		b.RecordArrival(start, testService, demandWith(loose, Fresh))
	}
	assert.Equal(t, verdict(b, demandWith(loose, Fresh)), Saturated)
	for range 10 {
		b.RecordArrival(start.Add(6*shareHalfLife), testService, demandWith(loose, Fresh))
	}
	assert.Equal(t, verdict(b, demandWith(loose, Fresh)), Chosen, "the tight route is not used any more")
	b.RecordArrival(start.Add(time.Hour), testService, demandWith(loose, Fresh))
	assert.Equal(t, len(b.objectives[testService].shares), 1)
}
