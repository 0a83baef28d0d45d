// Package weightstore reads the platform's weight store and origin, which
// have the same interface. It is described in docs/PLATFORM.md.
package weightstore

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/spread"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// maxManifest bounds a manifest in bytes.
const maxManifest = 8 << 20

// Errors of a source.
var (
	ErrNotFound     = errors.New("weightstore: not held by the source")
	ErrUnavailable = errors.New("weightstore: unavailable")
)

// Client reads one source.
type Client struct {
	base string
	http httpc.Service
}

// New returns a client for the source at the base URL.
func New(base string) *Client {
	return &Client{base: base, http: httpclient.New("weightstore")}
}

// Base returns the base URL of the source.
func (c *Client) Base() string { return c.base }

// Manifest reads the manifest with the given digest. The caller checks it.
func (c *Client) Manifest(ctx context.Context, d digest.Digest) ([]byte, error) {
	return c.get(ctx, "/v1/manifests/"+d.String(), maxManifest)
}

// Chunk reads a chunk by its digest. The caller checks it.
func (c *Client) Chunk(ctx context.Context, d digest.Digest) ([]byte, error) {
	return c.get(ctx, "/v1/chunks/"+d.String(), spread.MaxChunk)
}

// get returns the content at path. A limit of the source is returned as
// *httpclient.ErrLimited.
func (c *Client) get(ctx context.Context, path string, limit int64) ([]byte, error) {
	resp, err := c.http.Do(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	b, err := httpclient.ReadAll(resp, limit)
	var limited *httpclient.ThrottledError
	switch {
	case err == nil:
		return b, nil
	case errors.Is(err, httpclient.ErrNotFound):
		return nil, ErrNotFound
	case errors.As(err, &limited):
		return nil, limited
	}
	return nil, errors.Wrap(ErrUnavailable, err.Error())
}
