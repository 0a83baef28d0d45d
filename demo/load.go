package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/springgate/springgate/caller"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/standin"
)

// Parameters of the load.
const (
	callsPerHost = 4 // calls per second and host
	callTimeout  = 20 * time.Second
	tokens       = 12 // number of tokens in a streamed answer

	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3 // significant figures
)

// phase is the phase of the measurement in which a request is sent.
type phase int32

const (
	before phase = iota // from the start until the second version is published
	during              // from the publication of the second version on
	phases
)

// call is one request and its result as observed by the caller.
type call struct {
	id         string
	repeatable bool
	outcome    outcome.Outcome // empty if there was no answer
	crossed    bool            // got tokens or the body of another call, or tokens out of order
	mixed      bool            // got tokens of more than one version
	partial    bool            // looked complete to the caller, but tokens were missing
}

// load sends live requests and checks the answers independently of the system.
type load struct {
	fleet  *fleet
	client *http.Client
	phase  atomic.Int32
	active sync.WaitGroup

	mu    sync.Mutex
	calls []*call
	ttft  [phases]*hdrhistogram.Histogram // time to first token in microseconds

	completed, notRun, unknown atomic.Int64
}

func newLoad(f *fleet) *load {
	l := &load{fleet: f, client: &http.Client{Timeout: callTimeout + 5*time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for i := range l.ttft {
		l.ttft[i] = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	return l
}

func (l *load) setPhase(p phase) { l.phase.Store(int32(p)) }

// run sends calls at a constant rate, independently of the answers (open loop).
func (l *load) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.fleet.cfg.Seed, l.fleet.cfg.Seed))
	interval := time.Second / time.Duration(callsPerHost*l.fleet.cfg.Hosts)
	t := time.NewTicker(interval)
	defer t.Stop()
	l.active.Add(1)
	defer l.active.Done()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		c := &call{id: fmt.Sprintf("call-%06d", n), repeatable: rng.IntN(4) > 0}
		l.mu.Lock()
		l.calls = append(l.calls, c)
		l.mu.Unlock()
		entry := l.fleet.entries[rng.IntN(len(l.fleet.entries))].CallerAddr()
		plain, keyed := rng.IntN(5) == 0 && l.fleet.layout.plain != "", rng.IntN(2) == 0
		l.active.Go(func() { l.send(c, entry, plain, keyed) })
	}
}

func (l *load) wait() { l.active.Wait() }

func (l *load) request(c *call, entry string, plain, keyed bool) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/%s/v1/answer?tokens=%d", entry, l.fleet.layout.engine, tokens)
	if plain {
		url = fmt.Sprintf("http://%s/%s/accounts/7", entry, l.fleet.layout.plain)
	}
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("why is my transfer pending?"))
	if err != nil {
		return nil, err
	}
	r.Header.Set(caller.HeaderTeam, l.fleet.layout.team)
	r.Header.Set(standin.CallHeader, c.id)
	if !c.repeatable {
		r.Header.Set(caller.HeaderRepeatable, "no")
		if keyed {
			r.Header.Set(caller.HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String())
		}
	}
	return r, nil
}

func (l *load) send(c *call, entry string, plain, keyed bool) {
	p := phase(l.phase.Load())
	r, err := l.request(c, entry, plain, keyed)
	if err != nil {
		return
	}
	start := time.Now()
	resp, err := l.client.Do(r)
	if err != nil {
		return // no answer: counted as lost
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == caller.ProblemType {
		l.readProblem(c, resp)
		return
	}
	if plain {
		l.readPlain(c, resp)
	} else {
		l.readStream(c, resp, func() { l.recordFirstToken(p, time.Since(start)) })
	}
	l.count(c.outcome)
}

func (l *load) readProblem(c *call, resp *http.Response) {
	var p caller.Problem
	if json.NewDecoder(resp.Body).Decode(&p) == nil {
		c.outcome = p.Outcome
	}
	l.count(c.outcome)
}

func (l *load) count(o outcome.Outcome) {
	switch o {
	case outcome.Completed:
		l.completed.Add(1)
	case outcome.NotRun:
		l.notRun.Add(1)
	case outcome.Unknown:
		l.unknown.Add(1)
	}
}

func (l *load) recordFirstToken(p phase, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.ttft[p].RecordValue(min(d.Microseconds(), histogramMax))
}

func (l *load) readPlain(c *call, resp *http.Response) {
	b, err := io.ReadAll(resp.Body)
	c.outcome = outcome.Completed
	if err != nil {
		c.outcome = outcome.Unknown // aborted, and the caller noticed
		return
	}
	c.crossed = !strings.HasPrefix(string(b), c.id+" ")
}

// readStream reads a streamed answer of an engine and checks each token. It calls the function
// first when the first token arrives.
func (l *load) readStream(c *call, resp *http.Response, first func()) {
	sc := bufio.NewScanner(resp.Body)
	seen, done, version := 0, false, ""
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			done = true
			continue
		}
		if seen == 0 {
			first()
		}
		var id, v string
		var n int
		if _, err := fmt.Sscan(line, &id, &n, &v); err != nil || id != c.id || n != seen {
			c.crossed = true
		}
		c.mixed = c.mixed || version != "" && v != version
		version = v
		seen++
	}
	if sc.Err() != nil {
		c.outcome = outcome.Unknown // aborted, and the caller noticed
		return
	}
	c.outcome = outcome.Completed
	c.partial = resp.StatusCode == http.StatusOK && (!done || seen != tokens)
}

// evaluate adds the observations of the callers and the stand-ins to r.
func (l *load) evaluate(r *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Requests = len(l.calls)
	r.Completed, r.NotRun, r.Unknown = l.completed.Load(), l.notRun.Load(), l.unknown.Load()
	for _, c := range l.calls {
		ran := l.fleet.runs.Count(c.id)
		if c.outcome == "" || c.partial || c.outcome == outcome.Completed && ran == 0 {
			r.Lost++
		}
		if !c.repeatable && ran > 1 {
			r.Doubled++
		}
		if c.outcome == outcome.NotRun && ran > 0 {
			r.FalselyNotRun++
		}
		if c.crossed {
			r.Crossed++
		}
		if c.mixed {
			r.Mixed++
		}
	}
	for _, h := range l.fleet.hosts[:l.fleet.cfg.Hosts] {
		r.Mixed += int(h.engine.Mixed())
	}
	r.TTFTBefore = p99Milliseconds(l.ttft[before])
	r.TTFTDuring = p99Milliseconds(l.ttft[during])
}

const p99 = 99

// p99Milliseconds returns the 99th percentile of a histogram of microseconds.
func p99Milliseconds(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtPercentile(p99)) / 1000
}
