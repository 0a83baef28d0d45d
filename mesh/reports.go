package mesh

import (
	"sync"

	"github.com/springgate/springgate/peer"
)

// streamID names a stream that another process opened, for the reports that came on it.
type streamID uint64

// engineReport is what an agent tells of its engine.
type engineReport struct {
	agent peer.Presence
	state peer.EngineState
}

// newerThan orders reports of one engine: by the agent's incarnation, then by its count.
func (w engineReport) newerThan(o engineReport) bool {
	if w.agent.Incarnation != o.agent.Incarnation {
		return w.agent.Incarnation > o.agent.Incarnation
	}
	return w.state.Seq > o.state.Seq
}

// engineReports are the reports heard of engines, each from the agents themselves and from
// entries that pass them on; the newest of an engine counts. A report is held as long as
// a stream on which it came. It is pure.
type engineReports map[string]map[streamID]engineReport // by address of the engine

// newest returns the report that counts for an engine.
func (e engineReports) newest(engine string) (best engineReport, ok bool) {
	for _, w := range e[engine] {
		if !ok || w.newerThan(best) {
			best, ok = w, true
		}
	}
	return best, ok
}

// hear takes a report. The result is whether it is now the one that counts.
func (e engineReports) hear(from streamID, w engineReport) bool {
	engine := w.agent.EngineAddr
	old, known := e.newest(engine)
	if e[engine] == nil {
		e[engine] = map[streamID]engineReport{}
	}
	e[engine][from] = w
	return !known || w.newerThan(old)
}

// drop forgets a stream's report of an engine. It returns the report that counts now,
// and whether that changed.
func (e engineReports) drop(from streamID, engine string) (w engineReport, known, changed bool) {
	before, was := e.newest(engine)
	delete(e[engine], from)
	if len(e[engine]) == 0 {
		delete(e, engine)
	}
	w, known = e.newest(engine)
	changed = was && (!known || before.newerThan(w))
	if !known {
		w = before
	}
	return w, known, changed
}

// dropped is an engine of which the report that counts has changed because a stream
// ended.
type dropped struct {
	report engineReport
	known  bool // otherwise nothing is known any more, and report is the last one
}

// end forgets all reports of a stream.
func (e engineReports) end(from streamID) []dropped {
	var out []dropped
	for engine, reports := range e {
		if _, said := reports[from]; !said {
			continue
		}
		if w, known, changed := e.drop(from, engine); changed {
			out = append(out, dropped{w, known})
		}
	}
	return out
}

// reportRegistry keeps the reports and tells the listener, in order.
type reportRegistry struct {
	listener Listener

	mu      sync.Mutex
	reports engineReports
	last    streamID
}

func newReportRegistry(l Listener) *reportRegistry {
	return &reportRegistry{listener: l, reports: engineReports{}}
}

// open returns a name for a new stream.
func (b *reportRegistry) open() streamID {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	return b.last
}

func (b *reportRegistry) hear(from streamID, w engineReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reports.hear(from, w) {
		b.listener.EngineState(w.agent, &w.state)
	}
}

func (b *reportRegistry) drop(from streamID, engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, known, changed := b.reports.drop(from, engine); changed {
		b.tell(dropped{w, known})
	}
}

func (b *reportRegistry) end(from streamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.reports.end(from) {
		b.tell(d)
	}
}

func (b *reportRegistry) tell(d dropped) {
	if d.known {
		b.listener.EngineState(d.report.agent, &d.report.state)
		return
	}
	b.listener.EngineState(d.report.agent, nil)
}
