package dispatch

import (
	"testing"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

// misdirect sends a request that the target does not accept.
func misdirect(t *testing.T, b *Balancer) {
	t.Helper()
	c, verdict := b.Pick(start, testService, demand(), nil)
	assert.Equal(t, verdict, Chosen)
	b.Finish(start, c.Target, Result{Misdirected: true, Basis: c.Basis})
	assert.Equal(t, picked(b, start), "no_target")
}

// Guards against engines that get no requests for the rest of their lives after one came too early.
func TestEngineThatWasAskedBeforeItHeldItsWeightsIsUsedLater(t *testing.T) {
	services := map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}}
	for name, learn := range map[string]func(b *Balancer, i *fleet.Instance){
		"the agent reports the version": func(b *Balancer, i *fleet.Instance) {
			b.SetState(i.Addr, EngineState{Loading: true})
			assert.Equal(t, picked(b, start), "no_target")
			b.SetState(i.Addr, EngineState{Version: 1})
		},
		"the agent is reached again": func(b *Balancer, i *fleet.Instance) {
			b.DeleteState(i.Addr)
			b.SetState(i.Addr, EngineState{Version: 1})
		},
		"the list entry changes": func(b *Balancer, i *fleet.Instance) {
			newer := *i
			newer.Revision++
			b.Apply([]*fleet.Instance{&newer}, services)
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := engine(1, 1)
			b := newTestBalancer(engineModel(), Config{}, i)
			b.SetState(i.Addr, EngineState{Version: 1})
			misdirect(t, b)
			learn(b, i)
			assert.Equal(t, picked(b, start), "i-1")
		})
	}
}

func TestMisdirectedTargetIsNotUsedAgainForWhatSaysNothingNew(t *testing.T) {
	i := engine(1, 1)
	b := newTestBalancer(engineModel(), Config{}, i)
	b.SetState(i.Addr, EngineState{Version: 1, Pace: 1})
	misdirect(t, b)
	b.SetState(i.Addr, EngineState{Version: 1, Pace: 2})
	b.SetState("10.0.0.9:80", EngineState{Version: 1})
	b.Apply([]*fleet.Instance{i}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}})
	assert.Equal(t, picked(b, start), "no_target")
}

// What the target was chosen on may have changed before it answers.
func TestLateRefusalDoesNotExcludeATargetThatHasChanged(t *testing.T) {
	i := engine(1, 1)
	b := newTestBalancer(engineModel(), Config{}, i)
	c, _ := b.Pick(start, testService, demand(), nil)
	b.SetState(i.Addr, EngineState{Version: 1})
	b.Finish(start, c.Target, Result{Misdirected: true, Basis: c.Basis})
	assert.Equal(t, picked(b, start), "i-1")
}
