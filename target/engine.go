// Package target implements the clients for targets: model engines, which can
// be ordered to load weights that were staged (uploaded to them in chunks), and
// plain services. The interface of the targets
// is described in docs/PLATFORM.md.
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

// Limits of calls to an engine.
const (
	statusTimeout = 2 * time.Second
	chunkTimeout  = 30 * time.Second
	orderTimeout  = 5 * time.Second
	maxStatusSize = 64 << 10 // bytes
)

// LoadoutHeader is the response header with the ID of the loadout that produced
// the response.
const LoadoutHeader = "X-Engine-Loadout"

// Errors returned by Engine.
var (
	ErrUnreachable = errors.New("target: engine unreachable")
	ErrStaleFence  = errors.New("target: order refused: fencing token is too low")
	ErrRefused     = errors.New("target: order refused")
)

// Loadout is the desired state of an engine: model, adapters and role.
type Loadout struct {
	Model    digest.Digest   `json:"model"`
	Adapters []digest.Digest `json:"adapters,omitempty"`
	Role     intent.Role     `json:"role"`
}

// LoadoutOf returns the loadout for the engines of a service.
func LoadoutOf(s *intent.Service) Loadout {
	l := Loadout{Model: s.Model.Manifest, Role: s.Role}
	for _, a := range s.Adapters {
		l.Adapters = append(l.Adapters, a.Manifest)
	}
	return l
}

// ID returns the digest of the loadout.
func (l Loadout) ID() string {
	b, _ := json.Marshal(l) // cannot fail for these field types
	return digest.Of(b).String()
}

// Manifests returns the manifest digests of the loadout, the model's first.
func (l Loadout) Manifests() []digest.Digest {
	return append([]digest.Digest{l.Model}, l.Adapters...)
}

// EngineStatus is the status reported by an engine. It may lag behind the
// actual state.
type EngineStatus struct {
	Loadout string `json:"loadout"` // ID of the loadout being served, or ""
	Loading bool   `json:"loading"`
	Fence   uint64 `json:"fence"` // highest fencing token accepted; 0 if the engine does not check tokens
	Running int    `json:"running"`
	Boot    string `json:"boot"` // changes when the engine restarts
}

// Order is a command to load staged weights.
type Order struct {
	Loadout
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
}

// Engine is a client of one engine.
type Engine struct {
	base string
	http httpc.Service
}

// NewEngine returns a client for the engine at the base URL.
func NewEngine(base string) *Engine {
	return &Engine{base: base, http: httpclient.New("engine")}
}

// Status returns the status reported by the engine.
func (e *Engine) Status(ctx context.Context) (EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var st EngineStatus
	resp, err := e.http.Do(ctx, http.MethodGet, e.base+"/v1/engine/status", nil)
	if err != nil {
		return st, errors.Wrap(ErrUnreachable, err.Error())
	}
	b, err := httpclient.ReadAll(resp, maxStatusSize)
	if err != nil {
		return st, errors.Wrap(ErrUnreachable, err.Error())
	}
	if err := json.Unmarshal(b, &st); err != nil {
		return st, errors.Wrap(ErrUnreachable, err.Error())
	}
	return st, nil
}

// Stage uploads a verified chunk of a version to the engine.
func (e *Engine) Stage(ctx context.Context, manifest digest.Digest, index, count int, b []byte) error {
	url := fmt.Sprintf("%s/v1/engine/chunks/%s/%d?count=%d", e.base, manifest, index, count)
	return e.send(ctx, http.MethodPut, url, b, chunkTimeout)
}

// Load sends a load order. It returns when the engine has accepted the order;
// the engine's status reports when loading has finished.
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
		return errors.Wrap(err, "target: create request")
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
		return ErrStaleFence
	}
	return errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
}
