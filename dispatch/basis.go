package dispatch

import "github.com/springgate/springgate/revision"

// Basis tells on what a target was chosen: which list entry, and which state of its engine.
type Basis struct {
	entry revision.Revision
	state uint64 // serial number of the state that the agent reported; 0 if it reports none
}

func (b *Balancer) basisOf(t *Target) Basis {
	return Basis{entry: t.Revision, state: b.states[t.Addr].serial}
}

// recordMisdirected records that the address of a target did not accept a request that was meant
// for it: another instance uses the address, or the engine does not hold its weights. The target
// is not chosen again on the same basis.
func (b *Balancer) recordMisdirected(t *Target, basis Basis) {
	if basis == b.basisOf(t) {
		t.misdirected, t.misdirectedOn = true, basis
	}
}

func (b *Balancer) misdirected(t *Target) bool {
	return t.misdirected && t.misdirectedOn == b.basisOf(t)
}

// numbered returns a reported state with its serial number, which changes with all that decides
// whether the engine is usable.
func (b *Balancer) numbered(s, old EngineState) EngineState {
	s.serial = old.serial
	if old.serial == 0 || s.Version != old.Version || s.Loading != old.Loading || s.StartMs != old.StartMs {
		b.stateSerial++
		s.serial = b.stateSerial
	}
	return s
}
