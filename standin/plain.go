package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// CallHeader is the header by which test callers name a call. It is carried
// through like any other header.
const CallHeader = "X-Call"

// Runs records what really ran, over all targets.
type Runs struct {
	mu   sync.Mutex
	runs map[string][]string // call -> targets that ran it
}

// NewRuns returns an empty record.
func NewRuns() *Runs { return &Runs{runs: map[string][]string{}} }

func (r *Runs) add(call, where string) {
	if call == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[call] = append(r.runs[call], where)
}

// Count returns how often a call ran.
func (r *Runs) Count(call string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[call])
}

// PlainConfig describes a fake plain service.
type PlainConfig struct {
	// Latency is the time of a call.
	Latency time.Duration
}

// Plain is a fake plain service. It echoes the name of the call and the body.
type Plain struct {
	*server
	Down atomic.Bool // break connections

	cfg  PlainConfig
	runs *Runs
}

// NewPlain starts a plain service on addr.
func NewPlain(addr string, cfg PlainConfig, runs *Runs) (*Plain, error) {
	p := &Plain{cfg: cfg, runs: runs}
	var err error
	p.server, err = serve(addr, http.HandlerFunc(p.serveRequest))
	return p, err
}

func (p *Plain) serveRequest(w http.ResponseWriter, r *http.Request) {
	if p.Down.Load() {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := r.Header.Get(CallHeader)
	p.runs.add(call, p.URL())
	if p.cfg.Latency > 0 && !pause(r, p.cfg.Latency) {
		return
	}
	fmt.Fprintf(w, "%s %s %s %s", call, r.Method, r.URL.RequestURI(), body)
}
