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

// maxWatch bounds how long a watch waits.
const maxWatch = 30 * time.Second

// Platform is a fake of the configuration service and the host list.
type Platform struct {
	*server

	mu      sync.Mutex
	head    intent.Head
	older   *intent.Head
	parts   map[digest.Digest][]byte
	list    hostlist.List
	changed chan struct{}

	down   atomic.Bool
	refuse atomic.Int64 // of ten calls, for a service at its limit
	stale  atomic.Bool
	calls  atomic.Int64 // calls of the configuration service, a watch as one
	peak   atomic.Int64 // most calls within one second
	second atomic.Int64
	inOne  atomic.Int64
}

// NewPlatform starts a platform on addr.
func NewPlatform(addr string) (*Platform, error) {
	p, handler := NewPlatformHandler()
	var err error
	p.server, err = serve(addr, handler)
	return p, err
}

// NewPlatformHandler returns a platform that listens nowhere, and what serves its calls.
// It has no URL and is not closed.
func NewPlatformHandler() (*Platform, http.Handler) {
	p := &Platform{parts: map[digest.Digest][]byte{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/head", p.counted(p.serveHead))
	mux.HandleFunc("GET /v1/parts/{digest}", p.counted(p.servePart))
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return p, mux
}

// Publish makes a fleet file the head with the next revision number, which it
// returns. Nothing is checked.
func (p *Platform) Publish(file []byte) uint64 {
	p.mu.Lock()
	revision := p.head.Revision + 1
	p.mu.Unlock()
	h, parts := intent.Pack(revision, file)
	p.PublishHead(h, parts...)
	return revision
}

// PublishHead makes h the head and adds parts.
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

// SetDown makes every call fail.
func (p *Platform) SetDown(on bool) { p.down.Store(on) }

// SetAtLimit makes n of ten calls of the configuration service fail, as a
// service does that has reached its limit.
func (p *Platform) SetAtLimit(n int) { p.refuse.Store(int64(n)) }

// SetStale makes the service answer with the head before the newest.
func (p *Platform) SetStale(on bool) { p.stale.Store(on) }

// Calls returns how many calls the configuration service has had, and the
// most in one second.
func (p *Platform) Calls() (total, peakPerSecond int64) { return p.calls.Load(), p.peak.Load() }

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) counted(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.countCall(time.Now().Unix())
		if p.calls.Load()%10 < p.refuse.Load() {
			http.Error(w, "over the limit", http.StatusTooManyRequests)
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
		p.inOne.Store(0)
	}
	if n := p.inOne.Add(1); n > p.peak.Load() {
		p.peak.Store(n)
	}
}

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
