package gateway

import "github.com/springgate/springgate/peer"

// lastReport is what an agent last reported of its engine.
type lastReport struct {
	incarnation uint64 // of the agent
	usable      bool   // the engine served a version
}

// unprovenLoads remembers, also after an agent is lost, whether its engine could be used. An agent
// that is lost while it could not may have ordered a load that nobody has examined. By address of
// the engine, whether it is listed or not: the order may reach the next incarnation.
type unprovenLoads map[string]lastReport

// report records an agent's report.
func (u unprovenLoads) report(agent peer.Presence, s peer.EngineState) {
	u[agent.EngineAddr] = lastReport{agent.Incarnation, s.Version != 0 && !s.Loading}
}

// leftTo reports whether an agent's engine may hold a load that an agent before it did not examine.
func (u unprovenLoads) leftTo(agent peer.Presence) bool {
	last, ok := u[agent.EngineAddr]
	return ok && !last.usable && last.incarnation != agent.Incarnation
}
