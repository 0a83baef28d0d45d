// Package sidecar implements the agent of `springgate gateway` mode, in which the entries,
// the processes that callers connect to, forward requests directly to the engine. The agent
// stages the weights that the engine is to serve, orders the engine to load them in its
// turn of the rollout, and reports to the entries what the engine serves.
//
// Weights are divided into pieces. To stage a piece is to put it on the engine, which keeps
// it without using it until a load order makes the engine load all staged pieces. The
// engines of a service load a new version one after the other, each in its turn. A load
// order whose outcome is unknown is in doubt until it is settled, that is, known not to
// take effect any more. Fencing settles older orders by making the engine refuse them: each
// order carries a fencing token, and the engine refuses tokens lower than the highest that
// it has seen.
package sidecar

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/mechanism"
)

// Config holds the timeouts, intervals and limits of a sidecar.
type Config struct {
	// Off lists the mechanisms that are disabled.
	Off mechanism.Off
	// Poll is the interval between reads of the engine's report while the sidecar is idle,
	// PollBusy while a load order or a version change is in progress, and PollDown while
	// the engine does not answer. Defaults 400 ms, 40 ms and 100 ms.
	Poll, PollBusy, PollDown time.Duration
	// FirstStart is true when the whole fleet starts for the first time. Its
	// engines already hold weights then.
	FirstStart bool
	// Lead is the time from the announcement of a version to the first engine's turn. It is
	// the minimum staging time: the weights pass two links, each of which takes 2 s for all
	// pieces, and the two transfers overlap. Default 2.5 s.
	Lead time.Duration
	// Margin is the time from the last engine's turn to the deadline by which all
	// engines must serve the version. Default 1.3 s: entries stop routing to older
	// versions 0.7 s before the deadline.
	Margin time.Duration
	// Fetches is the number of concurrent piece fetches for an engine that serves no
	// requests, and FetchesServing for one that does, whose live requests share the link. A
	// single fetch leaves the link idle between two pieces. Defaults 3 and 2.
	Fetches, FetchesServing int
	// FetchRound is the time during which fetches of a newer version's pieces are
	// started before the next step is planned again, since the engine's turn to
	// load the older version may have come. FetchWait bounds the whole round,
	// including the fetches already started. Defaults 250 ms, which is enough for
	// a few pieces, and 1 s.
	FetchRound, FetchWait time.Duration
	// FetchTimeout bounds the fetch of one piece. Default 6 s.
	FetchTimeout time.Duration
	// CallTimeout bounds a call to the engine. Default 2 s.
	CallTimeout time.Duration
	// OrderTimeout bounds the wait for the answer to a load order. Engines answer within
	// milliseconds. An unanswered order delays newer versions, so it must be repeated soon.
	// Default 500 ms.
	OrderTimeout time.Duration
	// RepeatMin is the back-off before an unanswered order is repeated. The back-off
	// doubles with each attempt up to RepeatMax. The staged pieces are checked before each
	// repeat, and their corruption must be detected within 3 s. Defaults 100 ms and 1 s.
	RepeatMin, RepeatMax time.Duration
	// RepairTimeout bounds the fetch of replacements for corrupt pieces while an order is
	// in doubt. After this time the order is fenced. A load of corrupt bytes is tolerated
	// for 3 s after the corruption. Of these 3 s, detection takes up to RepeatMax, and
	// fencing takes two orders of up to OrderTimeout each. The fetch of a piece takes 35 ms
	// on the slowest links. Default 500 ms.
	RepairTimeout time.Duration
	// WithdrawTime is the time in which the entries learn that an engine is out of use. Default
	// 40 ms, several round trips between regions.
	WithdrawTime time.Duration
	// FenceSpread is the time after the announcement of a version over which the agents
	// spread their fencing orders, so that not all engines are out of use at once. Default
	// 500 ms, a fifth of Lead.
	FenceSpread time.Duration
	// OrderGrace is the time after which an unanswered order or put of a piece is assumed
	// not to reach the engine any more, if nothing has shown so before. Default 15 s.
	OrderGrace time.Duration
	// StallFor is how long a version with a piece that could not be fetched is deferred in
	// favour of an older version that the engine does not serve yet either. Default 3 s.
	StallFor time.Duration
	// VerifyAge is the age of the last check of a staged piece from which the check is
	// repeated before a load is ordered, because staged bytes may become corrupt. Default
	// 1 s.
	VerifyAge time.Duration
	// OrderAge is the maximum age, when a load order is sent, of the oldest of the last
	// checks of all staged pieces. Corruption must be detected within 3 s, and the order
	// may take 0.5 s to time out. Default 0.5 s more than VerifyAge.
	OrderAge time.Duration
	// InspectTimeout bounds the reads of all manifests that are needed to identify
	// what a previous agent has staged. Default 2 s.
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
	c.WithdrawTime = cmp.Or(c.WithdrawTime, 40*time.Millisecond)
	c.FenceSpread = cmp.Or(c.FenceSpread, 500*time.Millisecond)
	c.OrderGrace = cmp.Or(c.OrderGrace, 15*time.Second)
	c.StallFor = cmp.Or(c.StallFor, 3*time.Second)
	c.VerifyAge = cmp.Or(c.VerifyAge, time.Second)
	c.OrderAge = cmp.Or(c.OrderAge, c.VerifyAge+500*time.Millisecond)
	c.InspectTimeout = cmp.Or(c.InspectTimeout, 2*time.Second)
	return c
}
