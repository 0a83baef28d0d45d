package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/target"
)

// Shape of a made-up fleet.
const (
	madeUpPlains = 2
	madeUpTeam   = "citizens"
	adapterSize  = 1 << 20
	// adapterChunks is into how many chunks an adapter is cut.
	adapterChunks = 16
)

var madeUpDomains = []string{"muscat", "sohar", "salalah"}

// hostSpec is one host to run.
type hostSpec struct {
	intent.HostRef
	engine bool
	fenced bool
}

// layout is the fleet that is run: the hosts and the fleet file.
type layout struct {
	fleet   *intent.Fleet
	engine  string // service that gets requests and new versions
	plain   string // service that gets the other requests, "" if none
	team    string
	engines int        // hosts of that engine service
	hosts   []hostSpec // those first
}

// newLayout returns the layout of the fleet file given, or makes one up.
func newLayout(cfg Config) (layout, error) {
	l := layout{fleet: cfg.Fleet, team: madeUpTeam}
	if l.fleet == nil {
		l.fleet = madeUp(cfg)
	} else {
		l.team = l.fleet.Teams[0].Name
	}
	var rest []hostSpec
	for i := range l.fleet.Services {
		svc := &l.fleet.Services[i]
		first := svc.Kind == intent.Engine && l.engine == ""
		if first {
			l.engine, l.engines = svc.Name, len(svc.Hosts)
		}
		if svc.Kind == intent.Plain && l.plain == "" {
			l.plain = svc.Name
		}
		for _, h := range svc.Hosts {
			spec := hostSpec{h, svc.Kind == intent.Engine, svc.Fenced}
			if first {
				l.hosts = append(l.hosts, spec)
			} else {
				rest = append(rest, spec)
			}
		}
	}
	l.hosts = append(l.hosts, rest...)
	if l.engine == "" {
		return l, errors.New("demo: the fleet file has no service of kind engine")
	}
	return l, nil
}

func madeUp(cfg Config) *intent.Fleet {
	f := &intent.Fleet{Name: "demo", Teams: []intent.Team{{Name: "default", Weight: 1},
		{Name: madeUpTeam, Weight: 4}, {Name: "disputes", Weight: 2}}}
	engines := intent.Service{Name: "assistant", Kind: intent.Engine, Role: intent.Mixed, Model: intent.Version{Name: "wallet"},
		Spread: intent.Spread(cfg.Spread), MaxUnavailable: max(1, cfg.Hosts/4), Fenced: true,
		Limits: intent.Limits{Concurrency: 8, Queue: 64, Timeout: 20 * time.Second}}
	plains := intent.Service{Name: "balances", Kind: intent.Plain,
		Limits: intent.Limits{Concurrency: 32, Queue: 64, Timeout: 5 * time.Second}}
	for i := range cfg.Hosts + madeUpPlains {
		h := intent.HostRef{Name: fmt.Sprintf("host-%03d", i), Domain: madeUpDomains[i%len(madeUpDomains)]}
		if i < cfg.Hosts {
			engines.Hosts = append(engines.Hosts, h)
		} else {
			plains.Hosts = append(plains.Hosts, h)
		}
	}
	f.Services = []intent.Service{engines, plains}
	return f
}

// domain is the failure domain of entry i.
func (l layout) domain(i int) string { return l.hosts[i%len(l.hosts)].Domain }

// service returns the engine service with the given model.
func (l layout) service(model digest.Digest) intent.Service {
	for _, s := range l.fleet.Services {
		if s.Name == l.engine {
			s.Model.Manifest = model
			return s
		}
	}
	return intent.Service{}
}

// loadout is what every engine of the service is to report for a model.
func (l layout) loadout(model digest.Digest) string {
	s := l.service(model)
	return target.LoadoutOf(&s).ID()
}

// file returns the fleet file with the given model and the stand-in's origin.
func (l layout) file(model digest.Digest, origin string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "format: %d\nfleet: %s\nsources:\n  - {name: origin, kind: origin, url: %q}\nteams:\n", intent.Format, l.fleet.Name, origin)
	for _, t := range l.fleet.Teams {
		fmt.Fprintf(&b, "  - {name: %s, weight: %d, concurrency: %d, rate: %d, priority: %d}\n", t.Name, t.Weight, t.Concurrency, t.Rate, t.Priority)
	}
	b.WriteString("services:\n")
	for _, s := range l.fleet.Services {
		if s.Name == l.engine {
			s = l.service(model)
		}
		writeService(&b, s)
	}
	return []byte(b.String())
}

func writeService(b *strings.Builder, s intent.Service) {
	fmt.Fprintf(b, "  - name: %s\n    kind: %s\n", s.Name, s.Kind)
	fmt.Fprintf(b, "    limits: {concurrency: %d, queue: %d, timeout: %s}\n", s.Limits.Concurrency, s.Limits.Queue, s.Limits.Timeout)
	if s.Kind == intent.Engine {
		fmt.Fprintf(b, "    role: %s\n    spread: %s\n    max_unavailable: %d\n    fenced: %t\n    affinity_bytes: %d\n",
			s.Role, s.Spread, s.MaxUnavailable, s.Fenced, s.AffinityBytes)
		fmt.Fprintf(b, "    model: {name: %s, manifest: %q}\n    adapters:\n", s.Model.Name, s.Model.Manifest)
		for _, a := range s.Adapters {
			fmt.Fprintf(b, "      - {name: %s, manifest: %q}\n", a.Name, a.Manifest)
		}
		if len(s.Adapters) == 0 {
			b.WriteString("      []\n")
		}
	}
	b.WriteString("    hosts:\n")
	for _, h := range s.Hosts {
		fmt.Fprintf(b, "      - {domain: %s, names: [%s]}\n", h.Domain, h.Name)
	}
}
