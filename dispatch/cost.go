// Package dispatch chooses the target of a request in the mode of `springgate gateway`. It uses
// the engines' cost model, the load that all entries report, and the observed health of
// targets. An entry is a process that receives callers' requests and sends them on to targets.
// Each target has one home entry, which counts the requests that all entries send to the target
// and grants the entries reservations at the target. A target is either a model engine, which has
// a cost model, or a plain target, which has none. The objective of a request is the latency of
// the first event up to which the request counts as in time. The package does no I/O; clock
// readings and randomness are arguments.
package dispatch

import (
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/residency"
)

// Load is the work in flight at a target.
type Load struct {
	Requests       int // sent and not yet answered completely
	PendingPrefill int // prompt tokens of the requests whose first event has not arrived
}

func (l Load) add(o Load) Load {
	return Load{l.Requests + o.Requests, l.PendingPrefill + o.PendingPrefill}
}

// Demand describes what a request requires of a target.
type Demand struct {
	Prompt      int           // tokens
	Kind        string        // kind of the request, for plain targets; empty if unknown
	Objective   time.Duration // longest latency of the first event that counts as in time
	MaxGap      time.Duration // longest gap between events; zero for no limit
	Domain      string        // failure domain of the entry
	Standing    Standing
	Yield       float64 // part of the longest wait at a target that the request leaves to more urgent ones, 0 to 1
	HomeRegions residency.HomeRegions
}

// Forecast is the predicted timing of a request at a target.
type Forecast struct {
	Wait       time.Duration // until the target starts on the request
	IdleWait   time.Duration // the part of Wait that also applies at an idle target
	FirstEvent time.Duration // until the first event or the response
	Gap        time.Duration // longest gap that the request causes between events of other streams
}

// passTime returns the duration of one engine pass, a batch of m.StepsPerPass decode steps, for
// n sequences.
func passTime(m *fleet.EngineModel, n int) time.Duration {
	n = min(max(n, 1), m.Slots)
	context := float64(m.MeanPrompt+m.MeanAnswer/2) / 1000
	perSeq := m.StepPerSeq + time.Duration(context*float64(m.StepPer1kTokens))
	return time.Duration(m.StepsPerPass) * (m.Step + time.Duration(n)*perSeq)
}

// prefillTime returns how long an engine takes to process the given number of prompt tokens.
func prefillTime(m *fleet.EngineModel, tokens int) time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / m.PrefillRate * float64(time.Second))
}

// forecastEngine predicts the timing of a request at a model engine. Passes are not preempted:
// on average the request waits for half a pass, is prefilled together with the other pending
// prompts, and gets its first event at the end of its first pass. If all slots are taken it
// first waits for a free one.
func forecastEngine(m *fleet.EngineModel, l Load, d Demand) Forecast {
	pass := passTime(m, l.Requests+1)
	f := Forecast{Wait: pass/2 + prefillTime(m, l.PendingPrefill), IdleWait: pass / 2}
	if over := l.Requests + 1 - m.Slots; over > 0 {
		f.Wait += time.Duration(over) * slotInterval(m, pass)
	}
	f.FirstEvent = f.Wait + prefillTime(m, d.Prompt) + pass
	f.Gap = pass + prefillTime(m, l.PendingPrefill+d.Prompt)
	return f
}

// slotInterval returns the mean time between two request completions at a full engine. The
// prompts of requests that wait for a slot are already counted as pending prefill, so their
// prefill time is not included.
func slotInterval(m *fleet.EngineModel, pass time.Duration) time.Duration {
	passes := max(m.MeanAnswer/m.StepsPerPass, 1)
	return time.Duration(passes) * pass / time.Duration(m.Slots)
}

// forecastPlain predicts the timing of a request at a plain target from its observed latency.
func forecastPlain(slots int, latency time.Duration, l Load) Forecast {
	over := max(l.Requests+1-max(slots, 1), 0)
	wait := time.Duration(over) * latency / time.Duration(max(slots, 1))
	return Forecast{Wait: wait, FirstEvent: wait + latency}
}
