// Package hostlist is a client for the platform's list of live and leaving
// hosts, which may lag behind the actual state. The interface is described in
// docs/PLATFORM.md.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/membership"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	maxListBytes = 16 << 20
	callTimeout  = 5 * time.Second
)

// Errors returned by Client.Read and Parse.
var (
	ErrUnchanged   = errors.New("hostlist: unchanged")
	ErrUnavailable = errors.New("hostlist: unavailable")
	ErrMalformed   = errors.New("hostlist: malformed list")
)

// Host is one entry of the list.
type Host struct {
	Host    string `json:"host"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Role    string `json:"role"`
	Leaving bool   `json:"leaving,omitempty"`
}

// List is the complete list. Serial increases with each change of the list.
type List struct {
	Serial uint64 `json:"serial"`
	Hosts  []Host `json:"hosts"`
}

// Listed converts the hosts to the form that package membership uses.
func (l List) Listed() []membership.Listed {
	out := make([]membership.Listed, len(l.Hosts))
	for i, h := range l.Hosts {
		out[i] = membership.Listed{Host: h.Host, Addr: h.Addr, Domain: h.Domain,
			Role: membership.Role(h.Role), Leaving: h.Leaving}
	}
	return out
}

// Parse decodes a published list. The error is ErrMalformed if it is invalid.
func Parse(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return List{}, errors.Wrap(ErrMalformed, err.Error())
	}
	for _, h := range l.Hosts {
		if h.Host == "" || h.Addr == "" {
			return List{}, errors.Wrapf(ErrMalformed, "host %q with address %q: both must be set", h.Host, h.Addr)
		}
	}
	return l, nil
}

// Client reads the host list of one service.
type Client struct {
	base string
	http httpc.Service
}

// New returns a client for the service at the base URL.
func New(base string) *Client { return NewWithClient(httpclient.New("hostlist"), base) }

// NewWithClient is like New, with the given HTTP client.
func NewWithClient(h httpc.Service, base string) *Client { return &Client{base: base, http: h} }

// Read returns the published bytes of the list, or ErrUnchanged if the list's serial
// number still equals after.
func (c *Client) Read(ctx context.Context, after uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.http.Do(ctx, http.MethodGet, fmt.Sprintf("%s/v1/hosts?after=%d", c.base, after), nil)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if resp.StatusCode == http.StatusNotModified {
		resp.Body.Close()
		return nil, ErrUnchanged
	}
	b, err := httpclient.ReadAll(resp, maxListBytes)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return b, nil
}
