package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/target"
)

// EngineConfig describes a fake engine.
type EngineConfig struct {
	// FirstToken and NextToken are the times that an idle engine takes for the first token
	// of an answer and for each following one.
	FirstToken, NextToken time.Duration
	// Tokens is the number of tokens of an answer unless the request sets it.
	Tokens int
	// Slots is how many requests run concurrently at full speed; with more requests, all of
	// them slow down.
	Slots int
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// Fenced makes the engine reject load orders whose fencing token is lower than the
	// highest one that it has accepted.
	Fenced bool
}

// EngineFaults are faults that can be switched on in an engine.
type EngineFaults struct {
	RefuseLoad atomic.Bool // reject load orders
	IgnoreLoad atomic.Bool // accept load orders but keep serving the old loadout
	Truncate   atomic.Bool // abort answers half-way
	Down       atomic.Bool // abort connections
}

// Engine is a fake model engine. Chunks of a version's weights are staged, that is, uploaded to
// it, before a load order makes it serve the version's loadout. The engine also
// detects faults of the system under test: it records which requests ran, and load orders for
// versions whose staged chunks were missing or wrong.
type Engine struct {
	*server
	Faults EngineFaults

	cfg        EngineConfig
	runs       *Runs
	manifestOf func(digest.Digest) *spread.Manifest // true manifests of the versions

	mu      sync.Mutex
	staged  map[digest.Digest]map[int]digest.Digest
	loadout string
	loading bool
	fence   uint64
	boot    string // identifies the start of the engine process
	mixed   atomic.Int64
	orders  atomic.Int64
	polls   atomic.Int64
	running atomic.Int64
}

// NewEngine starts an engine on addr. manifestOf returns the true manifest of a version, or nil;
// the engine compares staged chunks with it.
func NewEngine(addr string, cfg EngineConfig, runs *Runs, manifestOf func(digest.Digest) *spread.Manifest) (*Engine, error) {
	e := &Engine{cfg: cfg, runs: runs, manifestOf: manifestOf, staged: map[digest.Digest]map[int]digest.Digest{}, boot: uuid.NewString()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/engine/status", e.serveStatus)
	mux.HandleFunc("PUT /v1/engine/chunks/{manifest}/{index}", e.serveChunk)
	mux.HandleFunc("POST /v1/engine/load", e.serveLoad)
	mux.HandleFunc("/", e.serveRequest)
	var err error
	e.server, err = serve(addr, e.withFaults(mux))
	return e, err
}

func (e *Engine) withFaults(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Faults.Down.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// Loadout returns the ID of the loadout being served, or "" if there is none or one is being
// loaded.
func (e *Engine) Loadout() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading {
		return ""
	}
	return e.loadout
}

// Mixed returns the number of loads of versions that were not staged completely and correctly,
// plus the number of tokens sent after the loadout had changed or a load had begun.
func (e *Engine) Mixed() int64 { return e.mixed.Load() }

// Orders returns the number of accepted load orders.
func (e *Engine) Orders() int64 { return e.orders.Load() }

// StatusReads returns how often the status was read.
func (e *Engine) StatusReads() int64 { return e.polls.Load() }

// Running returns the number of running requests.
func (e *Engine) Running() int64 { return e.running.Load() }

// Restart simulates a restart of the engine process: staged chunks, loadout and the highest
// accepted fencing token are lost.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged = map[digest.Digest]map[int]digest.Digest{}
	e.loadout, e.loading, e.boot, e.fence = "", false, uuid.NewString(), 0
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.polls.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, target.EngineStatus{Loadout: e.loadout, Loading: e.loading, Fence: e.fence,
		Running: int(e.running.Load()), Boot: e.boot})
}

// serveChunk stages a chunk. Only the digest of the chunk is stored.
func (e *Engine) serveChunk(w http.ResponseWriter, r *http.Request) {
	id, err := digest.Parse(r.PathValue("manifest"))
	index, err2 := strconv.Atoi(r.PathValue("index"))
	b, err3 := io.ReadAll(r.Body)
	if err != nil || err2 != nil || err3 != nil {
		http.Error(w, "bad chunk", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged[id] == nil {
		e.staged[id] = map[int]digest.Digest{}
	}
	e.staged[id][index] = digest.Of(b)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && o.Fence < e.fence {
		http.Error(w, "outdated fence", http.StatusPreconditionFailed)
		return
	}
	if e.Faults.RefuseLoad.Load() {
		http.Error(w, "refused", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders.Add(1)
	if e.Faults.IgnoreLoad.Load() {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if !e.isStaged(o.Loadout) {
		e.mixed.Add(1)
	}
	e.loading = true
	boot := e.boot
	time.AfterFunc(e.cfg.LoadTime, func() { e.finishLoad(o, boot) })
	w.WriteHeader(http.StatusAccepted)
}

// finishLoad makes the loadout of o active unless the engine has restarted since.
func (e *Engine) finishLoad(o target.Order, boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.loadout, e.loading = o.ID, false
		e.discardOthers(o.Loadout)
	}
}

// discardOthers discards the staged chunks of versions that are not in l.
func (e *Engine) discardOthers(l target.Loadout) {
	wanted := map[digest.Digest]bool{}
	for _, id := range l.Manifests() {
		wanted[id] = true
	}
	for id := range e.staged {
		if !wanted[id] {
			delete(e.staged, id)
		}
	}
}

// isStaged reports whether all chunks of the loadout are staged with the right content.
func (e *Engine) isStaged(l target.Loadout) bool {
	for _, id := range l.Manifests() {
		m := e.manifestOf(id)
		if m == nil || len(e.staged[id]) != len(m.Chunks) {
			return false
		}
		for i, d := range m.Chunks {
			if e.staged[id][i] != d {
				return false
			}
		}
	}
	return true
}

// serveRequest streams tokens as server-sent events. Each token contains the ID of the call and
// the loadout, so that callers can detect mixed-up answers and versions.
func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	loadout := e.Loadout()
	if loadout == "" {
		http.Error(w, "loading", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	call := r.Header.Get(CallHeader)
	e.runs.add(call, e.URL())
	e.running.Add(1)
	defer e.running.Add(-1)
	tokens := e.cfg.Tokens
	if n, err := strconv.Atoi(r.URL.Query().Get("tokens")); err == nil {
		tokens = n
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(target.LoadoutHeader, loadout)
	if !pause(r, e.slowed(e.cfg.FirstToken)) {
		return
	}
	for i := range tokens {
		if i > 0 && !pause(r, e.slowed(e.cfg.NextToken)) {
			return
		}
		if e.Faults.Truncate.Load() && i == tokens/2 {
			panic(http.ErrAbortHandler)
		}
		if e.Loadout() != loadout {
			e.mixed.Add(1)
		}
		fmt.Fprintf(w, "data: %s %d %s\n\n", call, i, loadout)
		w.(http.Flusher).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// slowed returns the time of a token that takes d on an idle engine. It grows in proportion to
// the running requests once there are more than Slots.
func (e *Engine) slowed(d time.Duration) time.Duration {
	utilization := float64(e.running.Load()) / float64(max(1, e.cfg.Slots))
	return time.Duration(float64(d) * max(1, utilization))
}
