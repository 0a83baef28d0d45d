package intent

import (
	"bytes"
	"cmp"
	"io"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Limits of a fleet file.
const (
	// MaxSize is the largest accepted fleet file in bytes, many times the size
	// of a file that lists 4,400 hosts.
	MaxSize = 16 << 20

	maxTeams       = 1000
	maxWeight      = 1000
	maxConcurrency = 100000
	maxQueue       = 100000
	maxRate        = 1000000
	maxPriority    = 7
	maxTimeout     = time.Hour
	maxAffinity    = 256 << 10
	minTimeout     = 10 * time.Millisecond
)

// Defaults for the limits of a service.
const (
	DefaultConcurrency = 8
	DefaultQueue       = 32
	DefaultTimeout     = time.Minute
)

// Parse reads and validates a fleet file. name is the file name given in
// errors. On failure the error is a ValidationErrors that lists every error in
// the file.
func Parse(name string, b []byte) (*Fleet, error) {
	d := &decoder{file: name}
	root := d.document(b)
	if root == nil {
		return nil, d.errs
	}
	f := d.fleet(root)
	if len(d.errs) > 0 {
		slices.SortStableFunc(d.errs, func(a, b ValidationError) int { return cmp.Compare(a.Line, b.Line) })
		return nil, d.errs
	}
	f.index()
	return f, nil
}

var yamlErrorLine = regexp.MustCompile(`line (\d+)`)

// document returns the root node of the single YAML document in b, or nil.
func (d *decoder) document(b []byte) *yaml.Node {
	const wholeFile = "file"
	if len(b) > MaxSize {
		d.errorf(1, wholeFile, "%d bytes: want at most %d", len(b), MaxSize)
		return nil
	}
	var doc, more yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			d.errorf(1, wholeFile, "empty; want a fleet file")
			return nil
		}
		d.errorf(lineOf(err), wholeFile, "not YAML: %s", err)
		return nil
	}
	if err := dec.Decode(&more); !errors.Is(err, io.EOF) {
		d.errorf(more.Line, wholeFile, "more than one document")
		return nil
	}
	if d.hasAlias(&doc) {
		return nil
	}
	return doc.Content[0]
}

func lineOf(err error) int {
	if m := yamlErrorLine.FindStringSubmatch(err.Error()); m != nil {
		n, _ := strconv.Atoi(m[1])
		return n
	}
	return 1
}

// hasAlias rejects anchors, aliases and merge keys, which would let a small
// file expand to a huge one.
func (d *decoder) hasAlias(n *yaml.Node) bool {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.errorf(n.Line, "file", "anchors and aliases are not allowed")
		return true
	}
	for _, c := range n.Content {
		if d.hasAlias(c) {
			return true
		}
	}
	return false
}

func (d *decoder) fleet(n *yaml.Node) *Fleet {
	o := d.object(n, "", "format", "fleet", "sources", "teams", "services")
	f := &Fleet{Name: o.nameField("fleet")}
	f.Format = o.integer("format", 0, 1, Format)
	if !o.has("format") {
		o.errorf("format", "missing; want a whole number from 1 to %d", Format)
	}
	for _, e := range o.list("sources", false) {
		f.Sources = append(f.Sources, d.source(e))
	}
	for _, e := range o.list("teams", true) {
		f.Teams = append(f.Teams, d.team(e))
	}
	if len(f.Teams) > maxTeams {
		o.errorf("teams", "%d teams: want at most %d", len(f.Teams), maxTeams)
	}
	services := o.list("services", true)
	for _, e := range services {
		f.Services = append(f.Services, d.service(e))
	}
	d.checkNames(o, f)
	d.checkHosts(f, services)
	return f
}

func (d *decoder) source(e element) Source {
	o := d.object(e.node, e.path, "name", "kind", "url")
	s := Source{Name: o.nameField("name"), URL: o.str("url", true)}
	s.Kind = enum(o, "kind", "", Store, Origin)
	if u, err := url.Parse(s.URL); s.URL != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		o.errorf("url", "%q: want http:// or https:// and a host", s.URL)
	}
	return s
}

func (d *decoder) team(e element) Team {
	o := d.object(e.node, e.path, "name", "weight", "concurrency", "rate", "priority")
	return Team{
		Name:        o.nameField("name"),
		Weight:      o.integer("weight", 1, 1, maxWeight),
		Concurrency: o.integer("concurrency", 0, 0, maxConcurrency),
		Rate:        o.integer("rate", 0, 0, maxRate),
		Priority:    o.integer("priority", 0, 0, maxPriority),
	}
}

func (d *decoder) service(e element) Service {
	o := d.object(e.node, e.path, "name", "kind", "role", "hosts", "model", "adapters",
		"spread", "max_unavailable", "fenced", "affinity_bytes", "limits")
	s := Service{Name: o.nameField("name"), Kind: enum(o, "kind", "", Engine, Plain)}
	for _, h := range o.list("hosts", true) {
		s.Hosts = append(s.Hosts, d.hosts(h)...)
	}
	s.Limits = d.limits(o)
	if s.Kind == Engine {
		d.engine(o, &s)
		return s
	}
	for _, field := range []string{"role", "model", "adapters", "spread", "max_unavailable", "fenced", "affinity_bytes"} {
		if o.has(field) && s.Kind == Plain {
			o.errorf(field, "only allowed for kind: %s", Engine)
		}
	}
	return s
}

func (d *decoder) engine(o *object, s *Service) {
	s.Role = enum(o, "role", Mixed, Mixed, Prefill, Decode)
	s.Spread = enum(o, "spread", SpreadTime, SpreadTime, SpreadOriginBytes)
	s.Fenced = o.boolean("fenced", false)
	s.AffinityBytes = o.integer("affinity_bytes", 0, 0, maxAffinity)
	s.MaxUnavailable = o.integer("max_unavailable", 1, 1, max(1, len(s.Hosts)))
	if n := o.fields["model"]; n != nil {
		s.Model = d.version(element{n, o.fieldPath("model")})
	} else {
		o.errorf("model", "missing; want a mapping with name, manifest")
	}
	for _, a := range o.list("adapters", false) {
		s.Adapters = append(s.Adapters, d.version(a))
	}
}

func (d *decoder) version(e element) Version {
	o := d.object(e.node, e.path, "name", "manifest")
	return Version{Name: o.nameField("name"), Manifest: o.digest("manifest")}
}

func (d *decoder) hosts(e element) []HostRef {
	o := d.object(e.node, e.path, "domain", "names")
	domain := o.nameField("domain")
	var out []HostRef
	for _, n := range o.list("names", true) {
		if n.node.Kind != yaml.ScalarNode || !validName(n.node.Value) {
			d.errorf(n.node.Line, n.path, "want a host name of letters, digits, '-', '_' or '.'")
			continue
		}
		out = append(out, HostRef{Name: n.node.Value, Domain: domain})
	}
	return out
}

func (d *decoder) limits(o *object) Limits {
	l := Limits{Concurrency: DefaultConcurrency, Queue: DefaultQueue, Timeout: DefaultTimeout}
	n := o.fields["limits"]
	if n == nil {
		return l
	}
	lo := d.object(n, o.fieldPath("limits"), "concurrency", "queue", "timeout")
	l.Concurrency = lo.integer("concurrency", l.Concurrency, 1, maxConcurrency)
	l.Queue = lo.integer("queue", l.Queue, 0, maxQueue)
	l.Timeout = lo.duration("timeout", l.Timeout, minTimeout, maxTimeout)
	return l
}

// checkNames rejects duplicate names, and engine services in a file that has no
// origin.
func (d *decoder) checkNames(o *object, f *Fleet) {
	seen := map[string]bool{}
	unique := func(field, name string, n *yaml.Node) {
		key := field + "/" + name
		if name != "" && seen[key] {
			d.errorf(n.Line, field, "%q is named twice", name)
		}
		seen[key] = true
	}
	for i, s := range f.Sources {
		unique("sources", s.Name, o.fields["sources"].Content[i])
	}
	for i, t := range f.Teams {
		unique("teams", t.Name, o.fields["teams"].Content[i])
	}
	origin := false
	for _, s := range f.Sources {
		origin = origin || s.Kind == Origin
	}
	for i, s := range f.Services {
		n := o.fields["services"].Content[i]
		unique("services", s.Name, n)
		if s.Kind == Engine && !origin {
			d.errorf(n.Line, "sources", "service %q has engines, but no source of kind %s is named", s.Name, Origin)
		}
	}
}

// checkHosts rejects a host that is listed for two services, because an agent
// serves only one target.
func (d *decoder) checkHosts(f *Fleet, services []element) {
	owner := map[string]string{}
	for i, s := range f.Services {
		for _, h := range s.Hosts {
			if first, ok := owner[h.Name]; ok {
				d.errorf(services[i].node.Line, services[i].path+".hosts", "host %q is already a host of service %q", h.Name, first)
			}
			owner[h.Name] = s.Name
		}
	}
}
