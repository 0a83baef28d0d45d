// Package target speaks to the targets: model engines, which also take
// orders, and plain services. The interface is described in docs/PLATFORM.md.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/intent"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Limits of a call to an engine.
const (
	statusTimeout = 2 * time.Second
	chunkTimeout  = 30 * time.Second
	orderTimeout  = 5 * time.Second
	maxStatus     = 64 << 10
)

// LoadoutHeader is the header in which an engine names the loadout that an
// answer came from.
const LoadoutHeader = "X-Engine-Loadout"

// Errors of an engine.
var (
	ErrUnreachable = errors.New("target: engine unreachable")
	ErrFence       = errors.New("target: order refused, its fence is too old")
	ErrRefused     = errors.New("target: order refused")
)

// Loadout is everything an engine is told to hold and be.
type Loadout struct {
	Model    digest.Digest   `json:"model"`
	Adapters []digest.Digest `json:"adapters,omitempty"`
	Role     intent.Role     `json:"role"`
}

// LoadoutOf returns the loadout that a service's engines should have.
func LoadoutOf(s *intent.Service) Loadout {
	l := Loadout{Model: s.Model.Manifest, Role: s.Role}
	for _, a := range s.Adapters {
		l.Adapters = append(l.Adapters, a.Manifest)
	}
	return l
}

// ID names a loadout by its content.
func (l Loadout) ID() string {
	b, _ := json.Marshal(l) // plain data: cannot fail
	return digest.Of(b).String()
}

// Manifests returns all versions in the loadout, the model first.
func (l Loadout) Manifests() []digest.Digest {
	return append([]digest.Digest{l.Model}, l.Adapters...)
}

// EngineStatus is what an engine reports, with a lag.
type EngineStatus struct {
	Loadout string `json:"loadout"` // ID of the loadout served, "" if none
	Loading bool   `json:"loading"`
	Fence   uint64 `json:"fence"` // highest fence accepted, 0 if unchecked
	Running int    `json:"running"`
	Boot    string `json:"boot"` // changes when the engine restarts
}

// Order tells an engine to load what has been staged.
type Order struct {
	Loadout
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
}

// Engine is a client for one engine.
type Engine struct {
	base string
	http httpc.Service
}

// NewEngine returns a client for the engine at the base URL.
func NewEngine(base string) *Engine {
	return &Engine{base: base, http: httpclient.New("engine")}
}

// Status reads the engine's report.
func (e *Engine) Status(ctx context.Context) (EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var st EngineStatus
	resp, err := e.http.Do(ctx, http.MethodGet, e.base+"/v1/engine/status", nil)
	if err != nil {
		return st, errors.Wrap(ErrUnreachable, err.Error())
	}
	b, err := httpclient.ReadAll(resp, maxStatus)
	if err != nil {
		return st, errors.Wrap(ErrUnreachable, err.Error())
	}
	if err := json.Unmarshal(b, &st); err != nil {
		return st, errors.Wrap(ErrUnreachable, err.Error())
	}
	return st, nil
}

// Stage hands a verified chunk of a version to the engine.
func (e *Engine) Stage(ctx context.Context, manifest digest.Digest, index, count int, b []byte) error {
	url := fmt.Sprintf("%s/v1/engine/chunks/%s/%d?count=%d", e.base, manifest, index, count)
	return e.send(ctx, http.MethodPut, url, b, chunkTimeout)
}

// Load gives the order to load. It returns when the engine has accepted it;
// the engine's status tells when it is done.
func (e *Engine) Load(ctx context.Context, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "target: encode order")
	}
	return e.send(ctx, http.MethodPost, e.base+"/v1/engine/load", b, orderTimeout)
}

func (e *Engine) send(ctx context.Context, method, url string, body []byte, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "target: request")
	}
	resp, err := e.http.DoRequest(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrFence
	}
	return errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
}
