// Package operator implements the interface for operators: the admin routes, the
// status document and its output as JSON and as a table.
package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
)

// Limits of Collect.
const (
	CollectTimeout     = 3 * time.Second
	collectConcurrency = 64
)

// HostStatus is the state of one host.
type HostStatus struct {
	Host         string `json:"host"`
	Domain       string `json:"failure_domain"`
	Role         string `json:"role"`
	State        string `json:"state"`
	Reached      bool   `json:"reached"`
	Incarnation  uint64 `json:"incarnation,omitempty"`
	Format       int    `json:"format,omitempty"`
	Revision     uint64 `json:"revision"`
	Digest       string `json:"digest,omitempty"`
	Lag          uint64 `json:"lag"` // number of revisions behind the highest revision that any host uses
	Pending      uint64 `json:"pending,omitempty"`
	Rejected     uint64 `json:"rejected,omitempty"`
	RejectReason string `json:"rejected_for,omitempty"`
	HeadAgeMs    int64  `json:"head_age_ms"`
	Reader       bool   `json:"reader,omitempty"`
	Awake        bool   `json:"awake"`
	Leaving      bool   `json:"leaving,omitempty"`
	Service      string `json:"service,omitempty"`
	Ready        bool   `json:"ready,omitempty"`
	Version      string `json:"version,omitempty"`
	Running      int    `json:"running,omitempty"`
	Queued       int    `json:"queued,omitempty"`
	WeightsHave  int    `json:"weights_have,omitempty"`
	WeightsWant  int    `json:"weights_want,omitempty"`
}

// Status is the state of the fleet as known to one entry.
type Status struct {
	Fleet    string       `json:"fleet"`
	Revision uint64       `json:"revision"` // highest revision that any host uses
	Hosts    []HostStatus `json:"hosts"`
}

// Collect requests the state of many processes with bounded concurrency. Processes
// that do not answer are omitted.
func Collect(ctx context.Context, addrs []string, query func(context.Context, string) (*peer.NodeStatus, error)) []*peer.NodeStatus {
	var mu sync.Mutex
	var out []*peer.NodeStatus
	var wg sync.WaitGroup
	slots := make(chan struct{}, collectConcurrency)
	for _, a := range addrs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			st, err := query(ctx, a)
			if err != nil || st == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, st)
		})
	}
	wg.Wait()
	return out
}

// NewStatus combines the states reported by hosts with the member list. Members that
// reported nothing have only the fields known to this entry.
func NewStatus(self *peer.NodeStatus, hosts []*peer.NodeStatus, s *control.Snapshot) Status {
	st := Status{}
	if f := s.Fleet(); f != nil {
		st.Fleet = f.Name
	}
	reached := map[string]bool{}
	for _, h := range append(hosts, self) {
		reached[h.Host] = true
		st.Hosts = append(st.Hosts, hostStatus(h, s))
		st.Revision = max(st.Revision, h.Revision)
	}
	for _, m := range s.Members {
		if !reached[m.Host] {
			st.Hosts = append(st.Hosts, HostStatus{Host: m.Host, Domain: m.Domain, Role: string(m.Role),
				State: m.State.String(), Revision: m.Revision})
		}
	}
	for i := range st.Hosts {
		st.Hosts[i].Lag = st.Revision - st.Hosts[i].Revision
	}
	slices.SortFunc(st.Hosts, func(a, b HostStatus) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Host, b.Host))
	})
	return st
}

func hostStatus(h *peer.NodeStatus, s *control.Snapshot) HostStatus {
	m, ok := s.Member(h.Host)
	state := membership.Live.String()
	if ok {
		state = m.State.String()
	}
	return HostStatus{Host: h.Host, Domain: h.Domain, Role: h.Role, State: state, Reached: true,
		Incarnation: h.Incarnation, Format: h.Format, Revision: h.Revision, Digest: h.Digest.Short(),
		Pending: h.Pending, Rejected: h.Rejected, RejectReason: h.RejectReason, HeadAgeMs: h.HeadAgeMs,
		Reader: h.Reader, Awake: h.Awake, Leaving: h.Leaving, Service: h.Target.Service, Ready: h.Target.Ready,
		Version: h.Target.Version, Running: h.Target.Running, Queued: h.Target.Queued,
		WeightsHave: h.Target.WeightsHave, WeightsWant: h.Target.WeightsWant}
}

// WriteStatus writes a status as JSON.
func WriteStatus(w http.ResponseWriter, st Status) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(st) // the client may have disconnected
}

// WriteTable writes a status as a plain-text table.
func WriteTable(w io.Writer, st Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "fleet %s\trevision %d\n", st.Fleet, st.Revision)
	fmt.Fprintln(t, "HOST\tDOMAIN\tROLE\tSTATE\tREVISION\tLAG\tPENDING\tREJECTED\tSERVICE\tREADY\tRUNNING\tQUEUED\tCHUNKS")
	for _, h := range st.Hosts {
		state := h.State
		if !h.Reached {
			state += " (no answer)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%t\t%d\t%d\t%d/%d\n", h.Host, h.Domain, h.Role, state,
			h.Revision, h.Lag, dash(h.Pending), dash(h.Rejected), h.Service, h.Ready, h.Running, h.Queued, h.WeightsHave, h.WeightsWant)
	}
	for _, h := range st.Hosts {
		if h.Rejected > 0 {
			fmt.Fprintf(t, "%s rejected revision %d: %s\n", h.Host, h.Rejected, h.RejectReason)
		}
	}
	return t.Flush()
}

func dash(n uint64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
