package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// CallHeader is the header in which test callers send the ID of a call. The system forwards it
// like any other header.
const CallHeader = "X-Call"

// Runs records which calls ran on which targets.
type Runs struct {
	mu   sync.Mutex
	runs map[string][]string // by call ID: URLs of the targets that ran it
}

// NewRuns returns an empty Runs.
func NewRuns() *Runs { return &Runs{runs: map[string][]string{}} }

func (r *Runs) add(call, target string) {
	if call == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[call] = append(r.runs[call], target)
}

// Count returns how many times a call ran.
func (r *Runs) Count(call string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[call])
}

// PlainConfig describes a fake plain service.
type PlainConfig struct {
	// Latency is how long a call takes.
	Latency time.Duration
}

// Plain is a fake plain service. It answers with the ID of the call, the method, the URI and the
// body of the request.
type Plain struct {
	*server
	Down atomic.Bool // abort connections

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
