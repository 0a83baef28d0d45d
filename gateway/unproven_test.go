package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// newControlOfEngine returns a control, and a function that reports whether requests may be sent to
// its only engine, which is listed with all layers of version 1.
func newControlOfEngine() (c *Control, used func() bool) {
	c = newTestControl(&fakeRelay{})
	c.balancer = dispatch.NewBalancer(dispatch.Config{}, rand.New(rand.NewPCG(1, 2)))
	model := *assignModel
	model.Slots, model.StepsPerPass, model.PrefillRate = 8, 1, 1000
	c.balancer.Apply([]*fleet.Instance{{ID: "i-1", Service: "svc", Addr: "e-1", Slots: 8,
		Models: []fleet.ModelVersion{{Model: "m", Version: 1, Layers: 16}}}}, map[string]*fleet.Service{"svc": {Name: "svc", Engine: &model}})
	c.setAssignment("svc", &assignment{model: assignModel, version: 1, since: time.Now()})
	return c, func() bool {
		_, v := c.balancer.Pick(time.Now(), "svc", dispatch.Demand{Prompt: 10, Objective: time.Second}, nil)
		return v == dispatch.Chosen
	}
}

// Guards against requests to an engine by the list because the agent that had taken it out of use was lost.
func TestEngineStaysOutOfUseWhenItsAgentIsLost(t *testing.T) {
	for _, last := range []peer.EngineState{{Addr: "e-1", Model: "m", Version: 1, Loading: true}, {Addr: "e-1", Model: "m"}} {
		c, used := newControlOfEngine()
		first, second := assignAgent, assignAgent
		first.Incarnation, second.Incarnation = 1, 2
		c.EngineState(first, &peer.EngineState{Addr: "e-1", Model: "m", Version: 1})
		assert.Assert(t, used())
		c.EngineState(first, &last)
		assert.Assert(t, !used())
		c.EngineState(first, nil)
		assert.Assert(t, !used(), "the agent is lost")
		a, _ := c.Assignment(first)
		assert.Assert(t, !a.Added.Unproven, "the same agent knows by itself")
		a, _ = c.Assignment(second)
		assert.Assert(t, a.Added.Unproven)
		c.EngineState(second, &peer.EngineState{Addr: "e-1", Model: "m", Version: 1})
		assert.Assert(t, used())
		a, _ = c.Assignment(second)
		assert.Assert(t, !a.Added.Unproven)
	}
}

func TestEngineIsUsedByTheListWhenItsAgentIsLostInService(t *testing.T) {
	c, used := newControlOfEngine()
	c.EngineState(assignAgent, &peer.EngineState{Addr: "e-1", Model: "m", Version: 1})
	c.EngineState(assignAgent, nil)
	assert.Assert(t, used())
}
