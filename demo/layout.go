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

// Parameters of the default fleet.
const (
	defaultPlains = 2
	defaultTeam   = "citizens"
	adapterSize   = 1 << 20 // bytes
	// adapterChunks is the number of chunks per adapter.
	adapterChunks = 16
)

var defaultDomains = []string{"muscat", "sohar", "salalah"}

// hostSpec is one host to run.
type hostSpec struct {
	intent.HostRef
	engine bool
	fenced bool
}

// layout describes the fleet of the demonstration: its hosts and the content of its fleet file.
type layout struct {
	fleet   *intent.Fleet
	engine  string     // engine service that gets requests and new versions
	plain   string     // plain service that gets the requests not sent to engine, "" if none
	team    string     // team in whose name all requests are sent
	engines int        // number of hosts of the engine service
	hosts   []hostSpec // those of the engine service first
}

// newLayout returns the layout of cfg.Fleet, or of the default fleet if that is nil.
func newLayout(cfg Config) (layout, error) {
	l := layout{fleet: cfg.Fleet, team: defaultTeam}
	if l.fleet == nil {
		l.fleet = defaultFleet(cfg)
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

// defaultFleet returns a fleet of one engine service and one plain service.
func defaultFleet(cfg Config) *intent.Fleet {
	f := &intent.Fleet{Name: "demo", Teams: []intent.Team{{Name: "default", Weight: 1},
		{Name: defaultTeam, Weight: 4}, {Name: "disputes", Weight: 2}}}
	engines := intent.Service{Name: "assistant", Kind: intent.Engine, Role: intent.Mixed, Model: intent.Version{Name: "wallet"},
		Spread: intent.Spread(cfg.Spread), MaxUnavailable: max(1, cfg.Hosts/4), Fenced: true,
		Limits: intent.Limits{Concurrency: 8, Queue: 64, Timeout: 20 * time.Second}}
	plains := intent.Service{Name: "balances", Kind: intent.Plain,
		Limits: intent.Limits{Concurrency: 32, Queue: 64, Timeout: 5 * time.Second}}
	for i := range cfg.Hosts + defaultPlains {
		h := intent.HostRef{Name: fmt.Sprintf("host-%03d", i), Domain: defaultDomains[i%len(defaultDomains)]}
		if i < cfg.Hosts {
			engines.Hosts = append(engines.Hosts, h)
		} else {
			plains.Hosts = append(plains.Hosts, h)
		}
	}
	f.Services = []intent.Service{engines, plains}
	return f
}

// domain returns the failure domain of entry i.
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

// loadout returns the ID of the loadout that the engines of the service report once they serve
// the model.
func (l layout) loadout(model digest.Digest) string {
	s := l.service(model)
	return target.LoadoutOf(&s).ID()
}

// file returns the fleet file with the given model and the URL of the origin.
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
