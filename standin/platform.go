package standin

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/intent"
)

// maxWatch is the maximum duration of a watch, a call that waits for a change.
const maxWatch = 30 * time.Second

// Platform is a fake configuration service and host list. The service publishes each revision of
// the fleet file as parts and a head that lists them.
type Platform struct {
	*server

	mu      sync.Mutex
	head    intent.Head
	older   *intent.Head // head before the current one
	parts   map[digest.Digest][]byte
	list    hostlist.List
	changed chan struct{} // closed when the head changes

	down        atomic.Bool
	rateLimited atomic.Int64 // number of calls out of ten that fail with 429
	stale       atomic.Bool
	calls       atomic.Int64 // calls of the configuration service; a watch counts as one
	peak        atomic.Int64 // maximum number of calls in one second
	second      atomic.Int64 // second of the last call, Unix time
	inSecond    atomic.Int64 // calls in the second of the last call
}

// NewPlatform starts a platform on addr.
func NewPlatform(addr string) (*Platform, error) {
	p, handler := NewPlatformHandler()
	var err error
	p.server, err = serve(addr, handler)
	return p, err
}

// NewPlatformHandler returns a platform without a listener and the handler of its calls. URL and
// Close must not be called on such a platform.
func NewPlatformHandler() (*Platform, http.Handler) {
	p := &Platform{parts: map[digest.Digest][]byte{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/head", p.counted(p.serveHead))
	mux.HandleFunc("GET /v1/parts/{digest}", p.counted(p.servePart))
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return p, mux
}

// Publish publishes a fleet file as the next revision and returns its number. The file is not
// validated.
func (p *Platform) Publish(file []byte) uint64 {
	p.mu.Lock()
	revision := p.head.Revision + 1
	p.mu.Unlock()
	h, parts := intent.Pack(revision, file)
	p.PublishHead(h, parts...)
	return revision
}

// PublishHead replaces the head by h and adds parts.
func (p *Platform) PublishHead(h intent.Head, parts ...[]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.head
	p.older = &old
	p.head = h
	for _, b := range parts {
		p.parts[digest.Of(b)] = b
	}
	p.notify()
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []hostlist.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = hostlist.List{Serial: p.list.Serial + 1, Hosts: hosts}
}

// Hosts returns the host list.
func (p *Platform) Hosts() []hostlist.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]hostlist.Host(nil), p.list.Hosts...)
}

// SetDown switches an outage on or off, in which every call fails.
func (p *Platform) SetDown(on bool) { p.down.Store(on) }

// SetRateLimited makes n out of ten calls of the configuration service fail with 429, as if it had
// reached its rate limit.
func (p *Platform) SetRateLimited(n int) { p.rateLimited.Store(int64(n)) }

// SetStale makes the configuration service return the head before the current one.
func (p *Platform) SetStale(on bool) { p.stale.Store(on) }

// Calls returns the number of calls of the configuration service and the maximum within one
// second.
func (p *Platform) Calls() (total, peakPerSecond int64) { return p.calls.Load(), p.peak.Load() }

// notify wakes all watches.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// counted counts the calls of h and applies the faults that are switched on.
func (p *Platform) counted(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.countCall(time.Now().Unix())
		if p.calls.Load()%10 < p.rateLimited.Load() {
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *Platform) countCall(second int64) {
	p.calls.Add(1)
	if p.second.Swap(second) != second {
		p.inSecond.Store(0)
	}
	if n := p.inSecond.Add(1); n > p.peak.Load() {
		p.peak.Store(n)
	}
}

// current returns the head to answer with and a channel that is closed when the head changes.
func (p *Platform) current() (intent.Head, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale.Load() && p.older != nil {
		return *p.older, p.changed
	}
	return p.head, p.changed
}

func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("revision"), 10, 64)
	known, _ := digest.Parse(r.FormValue("digest"))
	ms, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.NewTimer(min(maxWatch, time.Duration(ms)*time.Millisecond))
	defer timeout.Stop()
	for {
		h, changed := p.current()
		if h.Revision != 0 && h.Ref() != (intent.Ref{Revision: after, Digest: known}) {
			writeJSON(w, h)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) servePart(w http.ResponseWriter, r *http.Request) {
	d, err := digest.Parse(r.PathValue("digest"))
	p.mu.Lock()
	b, ok := p.parts[d]
	p.mu.Unlock()
	if err != nil || !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(b)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	if p.down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	p.mu.Lock()
	l := p.list
	p.mu.Unlock()
	if l.Serial == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, l)
}
