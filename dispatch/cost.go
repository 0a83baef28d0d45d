// Package dispatch chooses the target of a request in the mode of `springgate gateway`, from the
// engines' cost model, the load that all entries report, and what the answers showed. It
// does no I/O; clock readings and randomness are arguments.
package dispatch

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/residency"
)

// Load is what is in flight at a target.
type Load struct {
	Requests int // sent and not answered in full
	PendingPrefill   int // prompt tokens of requests without a first event
}

func (l Load) add(o Load) Load { return Load{l.Requests + o.Requests, l.PendingPrefill + o.PendingPrefill} }

// Demand is what a request asks of a target.
type Demand struct {
	Prompt    int           // tokens
	Objective time.Duration // latency up to the first event
	MaxGap    time.Duration // longest pause between events; zero for none
	Domain    string        // failure domain of the entry
	Standing  Standing
	HomeRegions     residency.Homes
}

// Forecast is what is expected of a request at a target.
type Forecast struct {
	Wait       time.Duration // until the target begins with it
	IdleWait       time.Duration // the part of Wait that an idle target takes too
	FirstEvent time.Duration // until its first event or its answer
	Gap        time.Duration // longest pause it causes between events of others
}

// passTime is the duration of one pass of an engine that decodes n sequences.
func passTime(m *fleet.EngineModel, n int) time.Duration {
	n = min(max(n, 1), m.Slots)
	context := float64(m.MeanPrompt+m.MeanAnswer/2) / 1000
	perSeq := m.StepPerSeq + time.Duration(context*float64(m.StepPerKilo))
	return time.Duration(m.Stride) * (m.Step + time.Duration(n)*perSeq)
}

// readTime is how long an engine reads prompts.
func readTime(m *fleet.EngineModel, tokens int) time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / m.PrefillRate * float64(time.Second))
}

// forecastEngine predicts a request at a model engine. Passes are not
// interrupted: the request waits for half of one on average, is read together
// with the other unread prompts, and gets its first event at the end of its
// first pass. With all slots taken it first waits until one is free.
func forecastEngine(m *fleet.EngineModel, l Load, d Demand) Forecast {
	pass := passTime(m, l.Requests+1)
	f := Forecast{Wait: pass/2 + readTime(m, l.PendingPrefill), IdleWait: pass / 2}
	if over := l.Requests + 1 - m.Slots; over > 0 {
		f.Wait += time.Duration(over) * slotInterval(m, pass)
	}
	f.FirstEvent = f.Wait + readTime(m, d.Prompt) + pass
	f.Gap = pass + readTime(m, l.PendingPrefill+d.Prompt)
	return f
}

// slotInterval is the mean time between two ends of requests at a full engine.
// A request decodes for so many passes. The prompts of the requests that wait for
// the slots are among the unread ones.
func slotInterval(m *fleet.EngineModel, pass time.Duration) time.Duration {
	passes := max(m.MeanAnswer/m.Stride, 1)
	return time.Duration(passes) * pass / time.Duration(m.Slots)
}

// forecastPlain predicts a request at a plain target from the latency that it
// showed.
func forecastPlain(slots int, latency time.Duration, l Load) Forecast {
	over := max(l.Requests+1-max(slots, 1), 0)
	wait := time.Duration(over) * latency / time.Duration(max(slots, 1))
	return Forecast{Wait: wait, FirstEvent: wait + latency}
}
