// Package gateway implements the entry of `springgate gateway`, the mode in which callers'
// requests are forwarded directly from the entry to the target. The gateway matches routes
// and teams, chooses targets, relays responses and event streams, and resumes broken
// streams at other targets. The header names are defined by a Dialect.
//
// An entry is a process that callers connect to; there are several. A target is a server
// process that runs requests; one that serves a model is also called an engine. The agent
// of an engine is the process that supplies it with model weights. The configuration, the
// target list and the announcements of model versions are in a store, of which each entry
// keeps a mirror, that is, a copy in memory. A version that the operators announce has a
// timeout: when it has passed, older versions of the model have expired and must not be
// used for new requests.
package gateway

import (
	"cmp"
	"context"
	"github.com/springgate/springgate/revision"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/notice"
	"github.com/springgate/springgate/overload/memory"
	"github.com/springgate/springgate/quarantine"
	"github.com/springgate/springgate/routing"
	"github.com/springgate/springgate/targetconn"
)

// Call is the request metadata in the header of a caller's request.
type Call struct {
	ID        string        // identifies one attempt; a caller's retry has another ID
	Key       string        // API key
	Remaining time.Duration // time that the caller still waits for the response
	Prompt    int           // length of the prompt in tokens
	LastEvent string        // ID of the event after which a stream resumes; empty at its start
	// Parts are the IDs of the parts of the prompt that other requests may have too, in order and
	// without duplicates. MoreParts says that the prompt has further ones, which are not listed.
	Parts     []string
	MoreParts bool
}

// ForwardInfo is the metadata in the header of a request that is forwarded to a target.
type ForwardInfo struct {
	Instance  string // the only instance that may run the request
	Team      string
	Remaining time.Duration
	LastEvent string // ID of the event after which a stream resumes
	// Rank is the order in which the target serves waiting requests, 0 first. It is stated only if
	// Ranked, that is, if the requests of the service differ in rank.
	Rank   int
	Ranked bool
}

// ResponseInfo is the metadata in the header of a target's response.
type ResponseInfo struct {
	ID            string           // of the request that the response answers
	Signed        bool             // the response has the target's signature
	NotRun        bool             // the target states that it did not run the request
	OtherInstance bool             // another instance uses the address, or the addressed one does not hold its weights
	Notice        notice.Statement // the back-off, rate limit or departure that the target announces
}

// Dialect maps request metadata to header names.
type Dialect interface {
	Decode(h http.Header) Call
	// EncodeForward sets and removes fields of the header of a forwarded request.
	EncodeForward(h http.Header, s ForwardInfo)
	DecodeResponse(status int, h http.Header) ResponseInfo
}

// Reserver reserves capacity of a target at its home entry, the one entry that grants the
// reservations of all entries at this target. Without it, entries that see the same free
// target at the same moment would all fill it.
type Reserver interface {
	// Reserve requests a place, that is, capacity for one request, whose prompt has the
	// given number of tokens. The place is also granted if the home entry does not answer
	// in time, unless the choice is Paced: the rate of such a target is limited.
	Reserve(ctx context.Context, c dispatch.Choice, prompt int) dispatch.Reservation
}

// MirrorState describes the state of this entry's mirror, its copy of the store.
type MirrorState struct {
	Revision revision.Revision // the store's revision that the mirror has reached
	Age      time.Duration     // time since the mirror was last confirmed to be current
}

// Config holds the limits of a Gateway.
type Config struct {
	Off    mechanism.Off // mechanisms that are switched off
	Domain string        // failure domain of this entry
	// MirrorState returns the state of the mirror, for the log records of requests. Default:
	// unknown.
	MirrorState func() MirrorState

	// Crashes records which requests crash targets. Default: a table that is not shared
	// with other entries. Hasher computes the fingerprints of request contents. Host names
	// this entry as a reporter of crashes in the table.
	Crashes *quarantine.Table
	Hasher  quarantine.Hasher
	Host    string
	// Probes reports whether this entry is the one that probes a quarantined content, that
	// is, lets one request with this content through to test whether targets still crash.
	// Default: this entry probes all contents.
	Probes func(quarantine.Fingerprint) bool

	// Level decides which requests are admitted while a service has too few targets. Default:
	// all are.
	Level Level
	// SkipBodyTimeout is how long the response to a request that the level has refused may wait for
	// the end of the request's body; after that the connection is closed. Default 50 ms.
	SkipBodyTimeout time.Duration

	// MaxWaitRatio is the part of the service's tightest objective (the shortest
	// first-response latency that counts as in time for any of its current callers) that a
	// fresh request, one that is not a retry, may wait for a target: long enough to bridge
	// a short lack of targets, and short enough that a refused caller has lost no useful
	// time. The limit is the same for all requests of a service, since those with a longer
	// one would win the places that others give up. Default 0.1.
	MaxWaitRatio float64
	// RetryMaxWait is how long a request that failed at one target may wait for another.
	// Default 250 ms.
	RetryMaxWait time.Duration
	// FirstEventLimit is the least time allowed for the first event of a stream at a target
	// that is sending events of other streams. Default 2.2 s.
	FirstEventLimit time.Duration
	// FirstEventTimeout is how long a target that sends nothing at all may take for the
	// first event of a stream, or for a non-streaming response, before another target is
	// tried as well. Default 600 ms.
	FirstEventTimeout time.Duration
	// StallTimeout is the least pause after which another target is asked to resume a stream.
	// The pause allowed is the longest of StallTimeout, twice the route's MaxGap, and
	// stallFactor times the forecast gap between events. Default 900 ms.
	StallTimeout time.Duration
	// StallLimit is the least pause after which a stream is hedged whose target sends events of
	// other streams. Callers abandon a stream after a pause of 2 s. Default 1.5 s.
	StallLimit time.Duration
	// Memory bounds the bytes that requests hold together. Default: no bound.
	Memory *memory.Budget
	// MaxBufferedResponse bounds how much of a non-streaming response is buffered until it
	// is complete, in bytes. Default 256 KiB.
	MaxBufferedResponse int64
	// CancelLead is how long before the target's version expires a request that has not
	// started is cancelled: the time that closing its connection may take to reach the
	// target over a link shared with weight transfers. Default 250 ms.
	CancelLead time.Duration
	// RetryAfter is the part of a refused caller's remaining time after which the caller
	// should retry. Callers do not wait longer than this part; most bursts, version changes
	// and restarts are over by then. RetrySpread is the part of the delay by which it
	// varies at random, so that callers refused at the same time do not all retry at the
	// same time. Defaults 1/3 and 0.2.
	RetryAfter, RetrySpread float64
	// RetryRatio is how many retries each request adds to the retry budget of its service,
	// and RetryBurst the most retries that the budgets of all entries together may
	// accumulate for a service.
	RetryRatio, RetryBurst float64
	// RetryWindow is the window over which the retries of a service are counted. Until
	// routing.ReserveAt the budgets of a process hold only what its requests add. Default
	// DefaultRetryWindow.
	RetryWindow time.Duration
	// MinRemaining is the least remaining time with which a target can still serve a
	// request. With less, a failed request is not sent to another target. Default 30 ms.
	MinRemaining time.Duration
}

// DefaultRetryWindow is the window over which retries are counted if the platform names none.
const DefaultRetryWindow = 10 * time.Second

func (c Config) applyDefaults() Config {
	if c.MirrorState == nil {
		c.MirrorState = func() MirrorState { return MirrorState{} }
	}
	if c.Crashes == nil {
		c.Crashes = quarantine.NewTable()
	}
	if c.Probes == nil {
		c.Probes = func(quarantine.Fingerprint) bool { return true }
	}
	c.SkipBodyTimeout = cmp.Or(c.SkipBodyTimeout, 50*time.Millisecond)
	c.MaxWaitRatio = cmp.Or(c.MaxWaitRatio, 0.1)
	c.RetryMaxWait = cmp.Or(c.RetryMaxWait, 250*time.Millisecond)
	c.FirstEventLimit = cmp.Or(c.FirstEventLimit, 2200*time.Millisecond)
	c.FirstEventTimeout = cmp.Or(c.FirstEventTimeout, 600*time.Millisecond)
	c.StallTimeout = cmp.Or(c.StallTimeout, 900*time.Millisecond)
	c.StallLimit = cmp.Or(c.StallLimit, 1500*time.Millisecond)
	c.CancelLead = cmp.Or(c.CancelLead, 250*time.Millisecond)
	c.MaxBufferedResponse = cmp.Or(c.MaxBufferedResponse, int64(256<<10))
	c.RetryAfter = cmp.Or(c.RetryAfter, 1.0/3)
	c.RetrySpread = cmp.Or(c.RetrySpread, 0.2)
	c.RetryWindow = cmp.Or(c.RetryWindow, DefaultRetryWindow)
	c.MinRemaining = cmp.Or(c.MinRemaining, 30*time.Millisecond)
	return c
}

// Gateway serves callers' requests.
type Gateway struct {
	cfg      Config
	dialect  Dialect
	balancer *dispatch.Balancer
	pool     *targetconn.Pool
	reserver Reserver
	stats    *Stats
	log      logrus.FieldLogger

	config   atomic.Pointer[fleet.Config]
	draining atomic.Bool
	drain    *drain
	runTimes *runTimes
	inflight atomic.Int64

	retryDetector *dispatch.RetryDetector
	crashDetector *crashDetector
	startedAt     time.Time

	mu      sync.Mutex
	budgets map[string]*routing.Budget // by service
	entries int                        // that share the retry budget; 0 if not known
}

// New returns a gateway that refuses all requests until it has a configuration.
func New(cfg Config, d Dialect, balancer *dispatch.Balancer, pool *targetconn.Pool, reserver Reserver, stats *Stats, log logrus.FieldLogger) *Gateway {
	cfg = cfg.applyDefaults()
	if cfg.Off.Has(mechanism.ByteBudget) {
		cfg.Memory = nil
	}
	if cfg.Memory != nil {
		stats.watchMemory(cfg.Memory)
	}
	return &Gateway{cfg: cfg, dialect: d, balancer: balancer, pool: pool, reserver: reserver, stats: stats, log: log, drain: newDrain(), runTimes: newRunTimes(),
		retryDetector: dispatch.NewRetryDetector(cfg.RetryAfter, cfg.RetrySpread), crashDetector: newCrashDetector(cfg.Crashes, cfg.Host, log), startedAt: clock.Now(), budgets: map[string]*routing.Budget{}}
}

// SetConfig applies a configuration and reports whether it did. Versions that are not
// newer than the current one are ignored.
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

// Ready reports whether the gateway should receive callers' connections.
func (g *Gateway) Ready() bool { return g.config.Load() != nil && !g.draining.Load() }

// Drain makes the gateway not ready, and makes callers close their connections after the
// next response. Requests that would not end by until are refused, and those that have not ended
// by then are ended.
func (g *Gateway) Drain(until time.Time) {
	g.draining.Store(true)
	g.drain.begin(until)
}

// Inflight returns the number of requests being served.
func (g *Gateway) Inflight() int64 { return g.inflight.Load() }

// SetEntries sets how many entries share the retry budget; 0 means that it is not known. Existing
// budgets are resized rather than replaced, because a new one does not know what was spent.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n == g.entries {
		return
	}
	g.entries = n
	share := g.budgetShare()
	for _, b := range g.budgets {
		b.Resize(share)
	}
	g.stats.retryShare.Update(share)
	g.log.WithFields(logrus.Fields{"entries": n, "share": share}).Info("Retry budget divided among entries.")
}

// budgetShare is how many retries this entry may accumulate for a service: one if it is not known
// how many entries there are. The caller holds the lock.
func (g *Gateway) budgetShare() float64 {
	if g.entries == 0 {
		return 1
	}
	return max(g.cfg.RetryBurst/float64(g.entries), 1)
}

// budget returns the retry budget of a service. The entries share it without coordination:
// each has an equal share of RetryBurst and refills it with its own requests. All processes that
// run within a RetryWindow, also one after the other, stay within the budget together.
func (g *Gateway) budget(service string) *routing.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		share := g.budgetShare()
		b = routing.NewBudget(routing.BudgetConfig{Ratio: g.cfg.RetryRatio, Reserve: share, Cap: share, NoRefill: true,
			ReserveAt: routing.ReserveAt(g.startedAt, g.cfg.RetryWindow)})
		g.budgets[service] = b
	}
	return b
}
