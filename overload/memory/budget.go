// Package memory decides which requests may hold memory of a process, so that callers that send
// large bodies, send slowly or read slowly cannot exhaust it. It performs no I/O; clock readings
// are arguments.
package memory

import (
	"cmp"
	"container/list"
	"sync"
	"time"
)

// Config holds the parameters of a Budget. Sizes are in bytes.
type Config struct {
	// Bytes is the size of the budget.
	Bytes int64
	// SmallBytes is the most that a small request holds. Default 64 KiB: the overhead of a
	// request and 40 KiB of bodies, which nearly all requests keep to.
	SmallBytes int64
	// SmallShare is the part of the budget that only small requests may use. Default a quarter.
	SmallShare float64
	// TeamFactor bounds what large requests of a team hold to this many times what large
	// requests leave free. Default 2: a team alone may use two thirds of the large part, and
	// teams that ask for more than there is end up with equal parts.
	TeamFactor float64
	// StallTimeout is how long a caller may stand still before its request may be ended when
	// room is short. Default 2 s, in which TCP retransmits a lost segment three times (after
	// 0.2, 0.6 and 1.4 s).
	StallTimeout time.Duration
	// ProgressBytes is how much a caller must send or read within StallTimeout in order not to
	// stand still. Default 4 KiB, which is 16 kbit/s.
	ProgressBytes int64
	// ShortFor is how long after the last refusal room counts as short. Default 5 s.
	ShortFor time.Duration
}

func (c Config) applyDefaults() Config {
	c.SmallBytes = cmp.Or(c.SmallBytes, 64<<10)
	c.SmallShare = cmp.Or(c.SmallShare, 0.25)
	c.TeamFactor = cmp.Or(c.TeamFactor, 2)
	c.StallTimeout = cmp.Or(c.StallTimeout, 2*time.Second)
	c.ProgressBytes = cmp.Or(c.ProgressBytes, 4<<10)
	c.ShortFor = cmp.Or(c.ShortFor, 5*time.Second)
	return c
}

// Verdict is the result of asking for bytes.
type Verdict uint8

// Verdicts.
const (
	Granted   Verdict = iota
	NoRoom            // the budget, or its part for large requests, is used
	OverShare         // there is room, but the team has its share of the large part
)

// Holding is the memory of one request. Its fields belong to the Budget.
type Holding struct {
	team    string
	bytes   int64
	end     func()
	ended   bool
	waiting *list.Element // in Budget.waiting while the request waits for its caller; nil otherwise
	since   time.Time     // when the caller last made progress
	partial int64         // bytes sent or read since then
}

// Usage is the state of a Budget in bytes.
type Usage struct {
	Budget, Small, Large int64
	LargeLimit           int64 // the most that large requests may hold
}

// Budget counts the bytes that requests hold. A request that holds up to Config.SmallBytes is
// small, others are large. Its methods may be called concurrently.
type Budget struct {
	cfg        Config
	largeLimit int64

	mu      sync.Mutex
	small   int64
	large   int64
	teams   map[string]int64 // held by large requests
	waiting *list.List       // of *Holding, the one whose caller has stood still longest first
	ending  int64            // held by requests that were told to end
	wanted  int64            // size of the last refusal

	shortage Shortage
}

// New returns a budget of which nothing is used.
func New(cfg Config) *Budget {
	cfg = cfg.applyDefaults()
	return &Budget{cfg: cfg, largeLimit: cfg.Bytes - int64(cfg.SmallShare*float64(cfg.Bytes)),
		teams: map[string]int64{}, waiting: list.New()}
}

// Reserve asks for n bytes for a new request of a team. The holding is nil unless the verdict is
// Granted. While room is short, the requests whose callers have stood still longest are ended by a
// call of end, from this call or another one that asks for bytes.
func (b *Budget) Reserve(now time.Time, team string, n int64, end func()) (*Holding, Verdict) {
	h := &Holding{team: team, end: end}
	if v := b.Grow(now, h, n); v != Granted {
		return nil, v
	}
	return h, Granted
}

// Grow asks for n more bytes for a request. If they are not granted, the holding is unchanged.
func (b *Budget) Grow(now time.Time, h *Holding, n int64) Verdict {
	b.mu.Lock()
	v := b.verdict(h, n)
	if v == Granted {
		b.move(h, n)
	} else {
		b.shortage.recordRefusal(now)
		b.wanted = n
	}
	stalled := b.endStalled(now, h.team, n, v)
	b.mu.Unlock()
	for _, s := range stalled {
		s.end()
	}
	return v
}

// verdict decides whether a holding may grow by n bytes. The caller holds the lock.
func (b *Budget) verdict(h *Holding, n int64) Verdict {
	if b.small+b.large+n > b.cfg.Bytes {
		return NoRoom
	}
	after := h.bytes + n
	if after <= b.cfg.SmallBytes {
		return Granted
	}
	added := after - b.largeBytes(h)
	free := b.largeLimit - b.large - added
	switch {
	case free < 0:
		return NoRoom
	case float64(b.teams[h.team]+added) > b.cfg.TeamFactor*float64(free):
		return OverShare
	}
	return Granted
}

// largeBytes is what a holding counts among large requests.
func (b *Budget) largeBytes(h *Holding) int64 {
	if h.bytes <= b.cfg.SmallBytes {
		return 0
	}
	return h.bytes
}

// move adds n bytes, which may be negative, to a holding. The caller holds the lock.
func (b *Budget) move(h *Holding, n int64) {
	b.count(h, -1)
	h.bytes += n
	b.count(h, 1)
	if h.ended {
		b.ending += n
	}
}

// count adds a holding to the totals, or subtracts it if sign is -1. The caller holds the lock.
func (b *Budget) count(h *Holding, sign int64) {
	if b.largeBytes(h) == 0 {
		b.small += sign * h.bytes
		return
	}
	b.large += sign * h.bytes
	b.teams[h.team] += sign * h.bytes
	if b.teams[h.team] == 0 {
		delete(b.teams, h.team)
	}
}

// endStalled marks requests as ended whose callers have stood still, longest first, until there
// will be room for n bytes and the headroom, and returns them. verdict is that on the n bytes of the
// team. The caller holds the lock.
func (b *Budget) endStalled(now time.Time, team string, n int64, verdict Verdict) (stalled []*Holding) {
	if verdict == Granted {
		n = b.wanted
		if !b.shortage.active(now, b.cfg.ShortFor) || b.fits(n) {
			return nil
		}
	}
	n = max(n, b.headroom())
	for e := b.waiting.Front(); e != nil && b.ending < n; {
		h := e.Value.(*Holding)
		if now.Sub(h.since) < b.cfg.StallTimeout {
			break
		}
		e = e.Next()
		if !b.helps(h, team, n, verdict) {
			continue
		}
		b.leaveWaiting(h)
		h.ended = true
		b.ending += h.bytes
		b.shortage.Ended++
		stalled = append(stalled, h)
	}
	return stalled
}

// headroom is how much room is made at once while it is short, so that not each request is
// refused until another one is ended for it: a sixteenth of the budget.
func (b *Budget) headroom() int64 { return b.cfg.Bytes / 16 }

// fits reports whether n bytes of a request, and the headroom, are free. The caller holds the lock.
func (b *Budget) fits(n int64) bool {
	free := b.cfg.Bytes - b.small - b.large
	if n > b.cfg.SmallBytes {
		free = min(free, b.largeLimit-b.large)
	}
	return free >= max(n, b.headroom())
}

// helps reports whether the end of a request makes room for n bytes of a team: its own large
// requests if it is over its share, large requests if only these have no room, and otherwise all.
// The caller holds the lock.
func (b *Budget) helps(h *Holding, team string, n int64, verdict Verdict) bool {
	switch {
	case verdict == OverShare:
		return h.team == team && b.largeBytes(h) > 0
	case b.small+b.large+n <= b.cfg.Bytes:
		return b.largeBytes(h) > 0
	}
	return true
}

// Shrink gives back n bytes of a holding.
func (b *Budget) Shrink(h *Holding, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.move(h, -min(n, h.bytes))
}

// Release gives back all bytes of a request that has ended.
func (b *Budget) Release(h *Holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaveWaiting(h)
	b.move(h, -h.bytes)
}

// Await records that a request begins to wait for its caller to send or to read. It returns false
// if the request has been ended.
func (b *Budget) Await(now time.Time, h *Holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended {
		return false
	}
	b.leaveWaiting(h)
	h.since, h.partial, h.waiting = now, 0, b.waiting.PushBack(h)
	return true
}

// Progress records that the caller has sent or read n bytes.
func (b *Budget) Progress(now time.Time, h *Holding, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.partial += n
	if h.waiting != nil && h.partial >= b.cfg.ProgressBytes {
		h.since, h.partial = now, 0
		b.waiting.MoveToBack(h.waiting)
	}
}

// Proceed records that a request no longer waits for its caller. It returns false if the request
// has been ended.
func (b *Budget) Proceed(h *Holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaveWaiting(h)
	return !h.ended
}

func (b *Budget) leaveWaiting(h *Holding) {
	if h.waiting != nil {
		b.waiting.Remove(h.waiting)
		h.waiting = nil
	}
}

// Usage returns how much of the budget is used.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Budget: b.cfg.Bytes, Small: b.small, Large: b.large, LargeLimit: b.largeLimit}
}
