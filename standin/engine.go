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
	// FirstToken and NextToken are the times of a token on an idle engine.
	FirstToken, NextToken time.Duration
	// Tokens is how many tokens an answer has unless the call says.
	Tokens int
	// Slots is how many requests run at full speed; more slow all down.
	Slots int
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// Fenced makes the engine refuse orders with an old fence.
	Fenced bool
}

// EngineFaults are the faults of an engine.
type EngineFaults struct {
	RefuseLoad atomic.Bool // refuse load orders
	KeepOld    atomic.Bool // accept an order and go on with the old loadout
	Truncate   atomic.Bool // cut answers short
	Down       atomic.Bool // break connections
}

// Engine is a fake model engine. It also judges: it knows what really ran,
// and whether it was ever told to load something that was not whole.
type Engine struct {
	*server
	Faults EngineFaults

	cfg   EngineConfig
	runs  *Runs
	known func(digest.Digest) *spread.Manifest // what the versions really are

	mu      sync.Mutex
	staged  map[digest.Digest]map[int]digest.Digest
	loadout string
	loading bool
	fence   uint64
	boot    string
	mixed   atomic.Int64
	orders  atomic.Int64
	running atomic.Int64
}

// NewEngine starts an engine on addr. known returns the true manifest of a
// version, by which the engine judges what it is given.
func NewEngine(addr string, cfg EngineConfig, runs *Runs, known func(digest.Digest) *spread.Manifest) (*Engine, error) {
	e := &Engine{cfg: cfg, runs: runs, known: known, staged: map[digest.Digest]map[int]digest.Digest{}, boot: uuid.NewString()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/engine/status", e.serveStatus)
	mux.HandleFunc("PUT /v1/engine/chunks/{manifest}/{index}", e.serveChunk)
	mux.HandleFunc("POST /v1/engine/load", e.serveLoad)
	mux.HandleFunc("/", e.serveRequest)
	var err error
	e.server, err = serve(addr, e.faulty(mux))
	return e, err
}

func (e *Engine) faulty(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Faults.Down.Load() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// Loadout returns the ID of the loadout served, or "".
func (e *Engine) Loadout() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading {
		return ""
	}
	return e.loadout
}

// Mixed returns how many loads were of something partial or mixed, and how
// many answers were given without a whole loadout.
func (e *Engine) Mixed() int64 { return e.mixed.Load() }

// Orders returns how many load orders were accepted.
func (e *Engine) Orders() int64 { return e.orders.Load() }

// Running returns how many requests run now.
func (e *Engine) Running() int64 { return e.running.Load() }

// Restart makes the engine lose what it holds.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged = map[digest.Digest]map[int]digest.Digest{}
	e.loadout, e.loading, e.boot, e.fence = "", false, uuid.NewString(), 0
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, target.EngineStatus{Loadout: e.loadout, Loading: e.loading, Fence: e.fence,
		Running: int(e.running.Load()), Boot: e.boot})
}

// serveChunk stages a chunk. The fake keeps its digest only.
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
		http.Error(w, "old fence", http.StatusPreconditionFailed)
		return
	}
	if e.Faults.RefuseLoad.Load() {
		http.Error(w, "refused", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders.Add(1)
	if e.Faults.KeepOld.Load() {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if !e.whole(o.Loadout) {
		e.mixed.Add(1)
	}
	e.loading = true
	boot := e.boot
	time.AfterFunc(e.cfg.LoadTime, func() { e.loaded(o, boot) })
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) loaded(o target.Order, boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.loadout, e.loading = o.ID, false
		e.keep(o.Loadout)
	}
}

// keep discards the staged chunks of other versions.
func (e *Engine) keep(l target.Loadout) {
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

// whole compares what was staged with what the version really is.
func (e *Engine) whole(l target.Loadout) bool {
	for _, id := range l.Manifests() {
		m := e.known(id)
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

// serveRequest streams tokens as server-sent events. Each token names the
// call, so that crossed answers are found out, and the loadout.
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

// slowed is the time of a token when more requests run than there are slots.
func (e *Engine) slowed(d time.Duration) time.Duration {
	over := float64(e.running.Load()) / float64(max(1, e.cfg.Slots))
	return time.Duration(float64(d) * max(1, over))
}
