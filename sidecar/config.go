// Package sidecar is the agent on a host where callers' requests go straight to the engine, in
// the mode of `springgate gateway`: it stages the weights that the engine is to serve, orders the
// engine to load them when it is its turn, and tells the entries what the
// engine serves.
package sidecar

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/mechanism"
)

// Config holds the times of a sidecar.
type Config struct {
	// Off are mechanisms that are switched off.
	Off mechanism.Off
	// Poll is the time between two reads of the engine's report while nothing
	// is to be done; PollBusy while an order or a change is in progress, and
	// PollDown while the engine does not answer. Defaults 400 ms, 40 ms and
	// 100 ms.
	Poll, PollBusy, PollDown time.Duration
	// FirstStart is true when the whole fleet starts for the first time: its
	// engines hold weights already.
	FirstStart bool
	// Lead is when the first engine's turn comes after an announcement. It is
	// what staging takes at the least: two links of 2 s each, overlapping.
	// Default 2.5 s.
	Lead time.Duration
	// Margin is how long before the end of the time allowed the last turn
	// comes. Default 1.3 s: entries stop using older versions 0.7 s before
	// the end.
	Margin time.Duration
	// Fetches is how many pieces are fetched at once for an engine that does
	// not serve yet, and FetchesServing for one that does: live requests share
	// the link. One at a time leaves the link idle between two pieces. Defaults 3
	// and 2.
	Fetches, FetchesServing int
	// FetchRound is how long pieces of a newer version are begun before the next
	// step is decided anew: the engine's turn to load the older one may have come.
	// FetchWait bounds the wait for those that were begun. Defaults 250 ms, a few
	// pieces, and 1 s.
	FetchRound, FetchWait time.Duration
	// FetchTimeout bounds one piece. Default 6 s.
	FetchTimeout time.Duration
	// CallTimeout bounds a call to the engine. Default 2 s.
	CallTimeout time.Duration
	// OrderTimeout is how long an order's answer is waited for. Engines answer
	// within some ms; an order without an answer holds up newer versions, so it is
	// to be repeated soon. Default 500 ms.
	OrderTimeout time.Duration
	// RepeatMin is the pause before an order without an answer is repeated; it
	// doubles up to RepeatMax. What is staged is checked before each repeat, and
	// pieces that went bad must be noticed within 3 s. Defaults 100 ms and 1 s.
	RepeatMin, RepeatMax time.Duration
	// RepairTimeout bounds the fetch of pieces that went bad while an order is in
	// doubt; after it the order is shut out. Bytes that went bad are excused for
	// 3 s, of which finding them takes up to RepeatMax and shutting out two orders,
	// OrderTimeout each. A piece takes 35 ms on the slowest links. Default 500 ms.
	RepairTimeout time.Duration
	// OrderGrace is how long after it was sent an order or a piece without an
	// answer may still reach the engine, where nothing else tells. Default 15 s.
	OrderGrace time.Duration
	// StallFor is how long a version of which a piece could not be had is put
	// behind an older one that must be served too. Default 3 s.
	StallFor time.Duration
	// VerifyAge is how old the check of staged pieces may be when the load is
	// ordered, because staged bytes may go bad. Default 1 s.
	VerifyAge time.Duration
	// OrderAge is how old the oldest check of a staged piece may be at most when
	// the order is sent: bytes that went bad must be noticed within 3 s, and the
	// order may take 0.5 s to be given up. Default 0.5 s more than VerifyAge.
	OrderAge time.Duration
	// InspectTimeout bounds the reads of all manifests that tell what an agent
	// before has staged. Default 2 s.
	InspectTimeout time.Duration
}

func (c Config) applyDefaults() Config {
	c.Poll = cmp.Or(c.Poll, 400*time.Millisecond)
	c.PollBusy = cmp.Or(c.PollBusy, 40*time.Millisecond)
	c.PollDown = cmp.Or(c.PollDown, 100*time.Millisecond)
	c.Lead = cmp.Or(c.Lead, 2500*time.Millisecond)
	c.Margin = cmp.Or(c.Margin, 1300*time.Millisecond)
	c.Fetches = cmp.Or(c.Fetches, 3)
	c.FetchesServing = cmp.Or(c.FetchesServing, 2)
	c.FetchWait = cmp.Or(c.FetchWait, time.Second)
	c.FetchRound = cmp.Or(c.FetchRound, 250*time.Millisecond)
	c.FetchTimeout = cmp.Or(c.FetchTimeout, 6*time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, 2*time.Second)
	c.OrderTimeout = cmp.Or(c.OrderTimeout, 500*time.Millisecond)
	c.RepeatMin = cmp.Or(c.RepeatMin, 100*time.Millisecond)
	c.RepeatMax = cmp.Or(c.RepeatMax, time.Second)
	c.RepairTimeout = cmp.Or(c.RepairTimeout, 500*time.Millisecond)
	c.OrderGrace = cmp.Or(c.OrderGrace, 15*time.Second)
	c.StallFor = cmp.Or(c.StallFor, 3*time.Second)
	c.VerifyAge = cmp.Or(c.VerifyAge, time.Second)
	c.OrderAge = cmp.Or(c.OrderAge, c.VerifyAge+500*time.Millisecond)
	c.InspectTimeout = cmp.Or(c.InspectTimeout, 2*time.Second)
	return c
}
