// Package caller implements the HTTP interface for callers: it parses the
// headers of requests and writes problem documents. The interface is described
// in docs/API.md.
package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Request headers. Those whose names begin with Springgate have no standard equivalent.
const (
	HeaderService        = "Springgate-Service"
	HeaderTeam           = "Springgate-Team"
	HeaderRepeatable     = "Springgate-Repeatable"
	HeaderTimeout        = "Springgate-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority" // RFC 9218
)

// Response headers.
const (
	HeaderOutcome   = "Springgate-Outcome"
	HeaderReason    = "Springgate-Reason"
	HeaderRequestID = "Springgate-Request-Id"
	HeaderHost      = "Springgate-Host"
	HeaderVersion   = "Springgate-Version"
	HeaderReplayed  = "Springgate-Replayed"
)

// Limits and defaults of header values.
const (
	maxValueLength = 255 // bytes
	maxTimeout     = time.Hour
	defaultUrgency = 3 // RFC 9218, section 4.1
	maxUrgency     = 7
)

// Request holds the parameters in the headers and the path of a request.
type Request struct {
	Service    string
	Team       string
	URI        string // path and query sent to the target
	Key        string // idempotency key; empty if none
	Repeatable bool
	Urgency    int           // 0 is the most urgent (RFC 9218)
	Timeout    time.Duration // 0 if not set by the caller
}

// ErrHeader is wrapped by all errors of Parse.
var ErrHeader = errors.New("caller: invalid header")

// Parse parses a request. The service is taken from its header or, if the
// header is missing, from the first path segment, which is then removed from
// the URI.
func Parse(r *http.Request) (Request, error) {
	req := Request{URI: r.URL.RequestURI(), Repeatable: true, Urgency: defaultUrgency}
	p := headerParser{h: r.Header}
	req.Service = p.token(HeaderService)
	req.Team = p.token(HeaderTeam)
	req.Key = p.key()
	req.Repeatable = p.repeatable()
	req.Timeout = p.timeout()
	req.Urgency = p.urgency()
	if p.err != nil {
		return Request{}, p.err
	}
	if req.Service == "" {
		req.Service, req.URI = splitPath(req.URI)
	}
	return req, nil
}

// splitPath splits the first path segment off a request URI.
func splitPath(uri string) (service, rest string) {
	trimmed := strings.TrimPrefix(uri, "/")
	end := strings.IndexAny(trimmed, "/?")
	if end < 0 {
		return trimmed, "/"
	}
	rest = trimmed[end:]
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return trimmed[:end], rest
}

// headerParser parses header fields and records the first error.
type headerParser struct {
	h   http.Header
	err error
}

func (p *headerParser) fail(name, value, want string) {
	if p.err == nil {
		p.err = errors.Wrapf(ErrHeader, "%s: %.40q: want %s", name, value, want)
	}
}

// single returns the value of a field that may occur at most once.
func (p *headerParser) single(name string) string {
	vs := p.h.Values(name)
	if len(vs) > 1 {
		p.fail(name, strings.Join(vs, ", "), "one value")
		return ""
	}
	if len(vs) == 0 {
		return ""
	}
	v := strings.TrimSpace(vs[0])
	if len(v) > maxValueLength || !utf8.ValidString(v) {
		p.fail(name, v, "at most 255 bytes of text")
		return ""
	}
	return v
}

func (p *headerParser) token(name string) string {
	v := p.single(name)
	if strings.ContainsAny(v, " ,;/\"") {
		p.fail(name, v, "a name")
		return ""
	}
	return v
}

// key parses the Idempotency-Key field, whose value may be quoted.
func (p *headerParser) key() string {
	v := p.single(HeaderIdempotencyKey)
	if len(v) >= 2 && v[0] == '"' && v[len(v)-1] == '"' {
		v = v[1 : len(v)-1]
	}
	if len(p.h.Values(HeaderIdempotencyKey)) > 0 && v == "" {
		p.fail(HeaderIdempotencyKey, v, "a UUID of version 7")
	}
	return v
}

func (p *headerParser) repeatable() bool {
	switch v := p.single(HeaderRepeatable); v {
	case "", "yes":
		return true
	case "no":
		return false
	default:
		p.fail(HeaderRepeatable, v, "yes or no")
		return false
	}
}

func (p *headerParser) timeout() time.Duration {
	v := p.single(HeaderTimeout)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > maxTimeout {
		p.fail(HeaderTimeout, v, "a duration up to 1h, such as 30s")
		return 0
	}
	return d
}

// urgency parses the urgency parameter u of the Priority field. As RFC 9218
// requires, values that cannot be parsed are ignored.
func (p *headerParser) urgency() int {
	for _, v := range p.h.Values(HeaderPriority) {
		for _, part := range strings.Split(v, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
			if !ok || name != "u" {
				continue
			}
			if n, err := strconv.Atoi(value); err == nil && n >= 0 && n <= maxUrgency {
				return n
			}
		}
	}
	return defaultUrgency
}
