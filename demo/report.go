package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/springgate/springgate/loop"
)

// Result holds the measurements of a demonstration. Lost, Doubled, FalselyNotRun, Crossed and
// Mixed are determined by the callers and the stand-ins, not by the system.
type Result struct {
	Hosts             int     `json:"hosts"`
	Entries           int     `json:"entries"`
	Replicas          int     `json:"replicas"`
	VersionBytes      int64   `json:"version_bytes"`
	TimeToN           float64 `json:"time_to_n_s"`         // seconds from publishing the second version until all engines served it
	Bound             float64 `json:"bound_s"`             // lower bound of TimeToN for the links used
	OriginCopies      float64 `json:"origin_copies"`       // copies of the second version that the origin sent
	CrossDomainCopies float64 `json:"cross_domain_copies"` // copies of either version received from another failure domain
	Requests          int     `json:"requests"`
	Completed         int64   `json:"completed"`
	NotRun            int64   `json:"not_run"`
	Unknown           int64   `json:"unknown"`
	Lost              int     `json:"lost"`            // requests with no answer, a partial one, or one although no target ran the request
	Doubled           int     `json:"doubled"`         // requests that must not be repeated, but ran more than once
	FalselyNotRun     int     `json:"falsely_not_run"` // requests that ran, but were reported to the caller as not run
	Crossed           int     `json:"crossed"`         // requests answered with content of another request
	Mixed             int     `json:"mixed"`           // answers with tokens of several versions, plus the Mixed count of each engine
	TTFTBefore        float64 `json:"ttft_p99_before_ms"`
	TTFTDuring        float64 `json:"ttft_p99_during_ms"`
	ConfigInForce     float64 `json:"config_in_force_s"` // seconds from publishing until every process used the revision
}

func (f *fleet) newResult(took time.Duration, originBytes int64) *Result {
	r := &Result{Hosts: f.cfg.Hosts, Entries: f.cfg.Entries, Replicas: f.cfg.Hosts, VersionBytes: f.cfg.Size,
		TimeToN: took.Seconds(), Bound: f.lowerBound().Seconds(),
		OriginCopies: float64(originBytes) / float64(f.cfg.Size)}
	for _, h := range f.hosts {
		if c, ok := h.agent.Metrics().Get("weights.bytes_from_other_domain").(interface{ Count() int64 }); ok {
			r.CrossDomainCopies += float64(c.Count()) / float64(f.cfg.Size)
		}
	}
	return r
}

// progress prints the progress of the demonstration.
type progress struct {
	out   io.Writer
	fleet *fleet
	load  *load
	live  bool

	mu      sync.Mutex
	pending bool // the cursor is in a live line without a newline
}

// printf prints a separate line.
func (p *progress) printf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLine()
	fmt.Fprintf(p.out, format+"\n", args...)
}

func (p *progress) endLine() {
	if p.pending {
		fmt.Fprintln(p.out)
		p.pending = false
	}
}

// line prints the numbers of replicas, origin copies and answers. On a terminal the text
// replaces the previous line, elsewhere it is a new one.
func (p *progress) line(replicas int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("replicas %d/%d  origin %.2f copies", replicas, p.fleet.cfg.Hosts,
		float64(p.fleet.origin.BytesServed())/float64(p.fleet.cfg.Size))
	if p.load != nil {
		text += fmt.Sprintf("  completed %d  not-run %d  unknown %d",
			p.load.completed.Load(), p.load.notRun.Load(), p.load.unknown.Load())
	}
	if p.live {
		fmt.Fprintf(p.out, "\r\x1b[K%s", text)
		p.pending = true
		return
	}
	fmt.Fprintln(p.out, text)
}

// wait calls line every progressInterval until d has passed.
func (p *progress) wait(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && loop.Sleep(ctx, progressInterval); {
		p.line(p.fleet.cfg.Hosts)
	}
}

// report prints the result as a table and, with Config.JSON, as one JSON object on the last line.
func (p *progress) report(r *Result) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLine()
	t := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nreplicas\t%d of %d\n", r.Replicas, r.Hosts)
	fmt.Fprintf(t, "time to all replicas\t%.2f s\t(lower bound %.2f s, ratio %.2f)\n", r.TimeToN, r.Bound, r.TimeToN/r.Bound)
	fmt.Fprintf(t, "copies read from the origin\t%.2f\n", r.OriginCopies)
	fmt.Fprintf(t, "copies across failure domains\t%.2f\t(both versions)\n", r.CrossDomainCopies)
	fmt.Fprintf(t, "revision in force in all processes\t%.2f s\n", r.ConfigInForce)
	fmt.Fprintf(t, "requests\t%d\t(completed %d, not-run %d, unknown %d)\n", r.Requests, r.Completed, r.NotRun, r.Unknown)
	fmt.Fprintf(t, "lost / doubled / falsely not-run / crossed / mixed\t%d / %d / %d / %d / %d\n",
		r.Lost, r.Doubled, r.FalselyNotRun, r.Crossed, r.Mixed)
	fmt.Fprintf(t, "time to first token p99\t%.1f ms before, %.1f ms during\n", r.TTFTBefore, r.TTFTDuring)
	if err := t.Flush(); err != nil {
		return err
	}
	if !p.fleet.cfg.JSON {
		return nil
	}
	return json.NewEncoder(p.out).Encode(r)
}
