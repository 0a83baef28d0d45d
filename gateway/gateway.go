// Package gateway is the entry of `springgate gateway`, the mode in which callers' requests go
// straight from the entry to the target: it matches routes and teams, chooses targets, passes
// answers and event streams on, and resumes broken streams elsewhere. The
// names on the wire are a Dialect's.
package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/notice"
	"github.com/springgate/springgate/quarantine"
	"github.com/springgate/springgate/routing"
	"github.com/springgate/springgate/targetconn"
)

// Call is what a caller's header says beside the request itself.
type Call struct {
	ID        string // of this attempt of the caller
	Key       string // API key
	Remaining time.Duration
	Prompt    int // tokens
	LastEvent string
}

// Send is what the header of a request to a target says.
type Send struct {
	Instance  string // the only one that may run it
	Team      string
	Remaining time.Duration
	LastEvent string // a stream goes on after it
}

// AnswerInfo is what the header of a target's answer says.
type AnswerInfo struct {
	ID            string // of the request it answers
	Signed        bool   // it bears the target's signature
	NotRun        bool   // the target states that it did not run the request
	OtherInstance bool   // another instance has the address
	Notice        notice.Statement
}

// Dialect translates the names of headers.
type Dialect interface {
	Decode(h http.Header) Call
	// EncodeSend sets and removes fields of a forwarded header.
	EncodeSend(h http.Header, s Send)
	DecodeAnswer(status int, h http.Header) AnswerInfo
}

// Reserver asks the home entry of a target for a place there. Each target has
// one home, so that entries that see the same free target at the same moment do
// not all fill it.
type Reserver interface {
	// Reserve asks for a place for a request with so long a prompt, in tokens. It is
	// granted too if the home cannot be asked in time, unless the choice is Paced.
	Reserve(ctx context.Context, c dispatch.Choice, prompt int) dispatch.Reservation
}

// Copy describes this entry's copy of the store at a moment.
type Copy struct {
	Revision int64         // what it reaches
	Age      time.Duration // since the store was last known to agree
}

// Config holds the limits of a Gateway.
type Config struct {
	Off    mechanism.Off // mechanisms that are switched off
	Domain string        // failure domain of this entry
	// Copy tells, for the lines about requests, what choices are based on.
	// Default: nothing is known.
	Copy func() Copy

	// Crashes is what is known of requests under which targets end. Default: a table of
	// this entry's own. Hasher names their contents, Host this entry in it.
	Crashes *quarantine.Table
	Hasher  quarantine.Hasher
	Host    string
	// Probes reports whether this entry is the one that tries a content again that is
	// sent no more. Default: it is.
	Probes func(quarantine.Fingerprint) bool

	// Patience is the part of the service's tightest objective that a fresh
	// request may wait for a target: enough to bridge a moment without one, and
	// little enough that a caller who is refused has lost nothing. All wait
	// equally long, since those who wait longer win the places that others
	// leave. Default 0.1.
	Patience float64
	// RetryPatience is how long a request that failed at one target may wait
	// for another. Default 250 ms.
	RetryPatience time.Duration
	// FirstEventLimit is how long a first event may take at the least at a
	// target that sends events of other streams. Default 2.2 s.
	FirstEventLimit time.Duration
	// FirstEventTimeout is how long a first event may take at a target that is
	// silent, before another is tried. Default 600 ms.
	FirstEventTimeout time.Duration
	// StallTimeout is how long a stream may pause before it is resumed
	// elsewhere, at the least; twice the longest pause on time and
	// stallFactor forecast pauses are the other bounds. Default 900 ms.
	StallTimeout time.Duration
	// AnswerMemory bounds how much of a plain answer is held until it is
	// known to be whole, in bytes. Default 256 KiB.
	AnswerMemory int64
	// TakeBack is how long before the end of its version's time a request that has not
	// begun is taken back from a target: what the close of its connection may take to
	// get there over a link that pieces of weights share. Default 250 ms.
	TakeBack time.Duration
	// RetryAfter is the part of the time left after which a refused caller
	// should come back, the longest that callers heed: most bursts, changes of
	// version and restarts are over by then. RetrySpread is the part by which
	// that varies, so that those who are refused together do not come back
	// together. Defaults 1/3 and 0.2.
	RetryAfter, RetrySpread float64
	// RetryRatio is how many retries each request pays for, and RetryBurst
	// how many may be saved up by all entries together.
	RetryRatio, RetryBurst float64
	// MinLeft is the least time in which a target can still do something for
	// a request. Default 30 ms.
	MinLeft time.Duration
}

func (c Config) applyDefaults() Config {
	if c.Copy == nil {
		c.Copy = func() Copy { return Copy{} }
	}
	if c.Crashes == nil {
		c.Crashes = quarantine.NewTable()
	}
	if c.Probes == nil {
		c.Probes = func(quarantine.Fingerprint) bool { return true }
	}
	c.Patience = cmp.Or(c.Patience, 0.1)
	c.RetryPatience = cmp.Or(c.RetryPatience, 250*time.Millisecond)
	c.FirstEventLimit = cmp.Or(c.FirstEventLimit, 2200*time.Millisecond)
	c.FirstEventTimeout = cmp.Or(c.FirstEventTimeout, 600*time.Millisecond)
	c.StallTimeout = cmp.Or(c.StallTimeout, 900*time.Millisecond)
	c.TakeBack = cmp.Or(c.TakeBack, 250*time.Millisecond)
	c.AnswerMemory = cmp.Or(c.AnswerMemory, int64(256<<10))
	c.RetryAfter = cmp.Or(c.RetryAfter, 1.0/3)
	c.RetrySpread = cmp.Or(c.RetrySpread, 0.2)
	c.MinLeft = cmp.Or(c.MinLeft, 30*time.Millisecond)
	return c
}

// Gateway serves callers.
type Gateway struct {
	cfg     Config
	dialect Dialect
	book    *dispatch.Balancer
	pool    *targetconn.Pool
	homes   Reserver
	stats   *Stats
	log     logrus.FieldLogger

	config   atomic.Pointer[fleet.Config]
	draining atomic.Bool
	inflight atomic.Int64

	returns *dispatch.RetryDetector
	endings *endings

	mu      sync.Mutex
	budgets map[string]*routing.Budget // by service
	entries int
}

// New returns a gateway that refuses all until it has a configuration.
func New(cfg Config, d Dialect, book *dispatch.Balancer, pool *targetconn.Pool, homes Reserver, stats *Stats, log logrus.FieldLogger) *Gateway {
	cfg = cfg.applyDefaults()
	return &Gateway{cfg: cfg, dialect: d, book: book, pool: pool, homes: homes, stats: stats, log: log,
		returns: dispatch.NewRetryDetector(cfg.RetryAfter, cfg.RetrySpread), endings: newEndings(cfg.Crashes, cfg.Host, log), budgets: map[string]*routing.Budget{}, entries: 1}
}

// SetConfig puts a configuration in force. Older versions are ignored.
func (g *Gateway) SetConfig(c *fleet.Config) bool {
	for {
		old := g.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if g.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Config returns the configuration in force, or nil.
func (g *Gateway) Config() *fleet.Config { return g.config.Load() }

// Ready reports whether the gateway should get callers' connections.
func (g *Gateway) Ready() bool { return g.config.Load() != nil && !g.draining.Load() }

// Drain makes the gateway not ready, and lets callers close their connections
// after the next answer.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Inflight returns how many requests are being served.
func (g *Gateway) Inflight() int64 { return g.inflight.Load() }

// SetEntries tells how many entries share the retry budget. The budgets themselves stay:
// made anew they would be full after each change, and entries come and go each second
// while a border is cut.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n == g.entries {
		return
	}
	g.entries = n
	for _, b := range g.budgets {
		b.Resize(g.budgetPart())
	}
}

// budgetPart is how many retries this entry may save up; the lock is held.
func (g *Gateway) budgetPart() float64 {
	return max(g.cfg.RetryBurst/float64(max(g.entries, 1)), 1)
}

// budget returns the retry budget of a service. The entries share it without
// talking: each takes an equal part of the burst, and pays in by its own
// requests.
func (g *Gateway) budget(service string) *routing.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		part := g.budgetPart()
		b = routing.NewBudget(routing.BudgetConfig{Ratio: g.cfg.RetryRatio, Reserve: part, Cap: part, NoRefill: true})
		g.budgets[service] = b
	}
	return b
}
