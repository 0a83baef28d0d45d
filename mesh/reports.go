package mesh

import (
	"sync"

	"github.com/springgate/springgate/peer"
)

// streamID identifies a stream that another process opened, as the origin of reports.
type streamID uint64

// reportSource is where a report comes from: a stream that another process opened or, in a large
// fleet, the entry that forwards it.
type reportSource struct {
	stream    streamID
	forwarder string // address
}

// engineReport is an agent's report of the state of its engine.
type engineReport struct {
	agent peer.Presence
	state peer.EngineState
}

// newerThan orders reports of one engine by the agent's incarnation, then by sequence number.
func (rep engineReport) newerThan(o engineReport) bool {
	if rep.agent.Incarnation != o.agent.Incarnation {
		return rep.agent.Incarnation > o.agent.Incarnation
	}
	return rep.state.Seq > o.state.Seq
}

// engineReports holds the reports of engines, received from the agents themselves and from
// entries that forward them; the newest of an engine is in effect. A report is kept until
// its source is gone. It performs no I/O and reads no clock.
type engineReports map[string]map[reportSource]engineReport // by address of the engine

// newest returns the report in effect for an engine.
func (e engineReports) newest(engine string) (best engineReport, ok bool) {
	for _, rep := range e[engine] {
		if !ok || rep.newerThan(best) {
			best, ok = rep, true
		}
	}
	return best, ok
}

// add records a report and returns whether it is now the one in effect.
func (e engineReports) add(from reportSource, rep engineReport) bool {
	engine := rep.agent.EngineAddr
	old, known := e.newest(engine)
	if e[engine] == nil {
		e[engine] = map[reportSource]engineReport{}
	}
	e[engine][from] = rep
	return !known || rep.newerThan(old)
}

// remove deletes a source's report of an engine. It returns the report now in effect, and whether
// that changed. An older report of the same agent process does not come into effect again. If no report
// of the engine is left, it returns the removed one and known is false.
func (e engineReports) remove(from reportSource, engine string) (rep engineReport, known, changed bool) {
	old, existed := e.newest(engine)
	delete(e[engine], from)
	if len(e[engine]) == 0 {
		delete(e, engine)
	}
	rep, known = e.newest(engine)
	changed = existed && (!known || old.newerThan(rep) && old.agent.Incarnation != rep.agent.Incarnation)
	if !known {
		rep = old
	}
	return rep, known, changed
}

// reportChange says that the report in effect for an engine has changed because a source
// is gone.
type reportChange struct {
	report engineReport
	known  bool // if false, no report of the engine is left and report is the removed one
}

// removeSource deletes all reports of a source.
func (e engineReports) removeSource(from reportSource) []reportChange {
	var out []reportChange
	for engine, reports := range e {
		if _, ok := reports[from]; !ok {
			continue
		}
		if rep, known, changed := e.remove(from, engine); changed {
			out = append(out, reportChange{rep, known})
		}
	}
	return out
}

// reportRegistry stores the reports and notifies the listener of changes in order.
type reportRegistry struct {
	listener Listener

	mu      sync.Mutex
	reports engineReports
	lastID  streamID
}

func newReportRegistry(l Listener) *reportRegistry {
	return &reportRegistry{listener: l, reports: engineReports{}}
}

// openStream returns an ID for a new stream.
func (r *reportRegistry) openStream() streamID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return r.lastID
}

func (r *reportRegistry) add(from reportSource, rep engineReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reports.add(from, rep) {
		r.listener.EngineState(rep.agent, &rep.state)
	}
}

func (r *reportRegistry) remove(from reportSource, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep, known, changed := r.reports.remove(from, engine); changed {
		r.notify(reportChange{rep, known})
	}
}

func (r *reportRegistry) removeSource(from reportSource) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.reports.removeSource(from) {
		r.notify(c)
	}
}

func (r *reportRegistry) notify(c reportChange) {
	if c.known {
		r.listener.EngineState(c.report.agent, &c.report.state)
		return
	}
	r.listener.EngineState(c.report.agent, nil)
}
