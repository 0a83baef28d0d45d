// Package weightstore is a client for the platform's weight store and weight
// origin, which have the same interface. The interface is described in docs/PLATFORM.md.
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

// maxManifestBytes is the maximum size of a manifest, which lists the chunks of a version.
const maxManifestBytes = 8 << 20

// Errors returned by Client.
var (
	ErrNotFound    = errors.New("weightstore: not found at the source")
	ErrUnavailable = errors.New("weightstore: unavailable")
)

// Client reads from one source: a weight store or the weight origin.
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

// Manifest returns the manifest with the given digest. The content is not verified; the
// caller must do so.
func (c *Client) Manifest(ctx context.Context, d digest.Digest) ([]byte, error) {
	return c.get(ctx, "/v1/manifests/"+d.String(), maxManifestBytes)
}

// Chunk returns the chunk with the given digest. The content is not verified; the caller
// must do so.
func (c *Client) Chunk(ctx context.Context, d digest.Digest) ([]byte, error) {
	return c.get(ctx, "/v1/chunks/"+d.String(), spread.MaxChunk)
}

// get returns the content at path. The error is *httpclient.ThrottledError if the source
// throttles the call.
func (c *Client) get(ctx context.Context, path string, limit int64) ([]byte, error) {
	resp, err := c.http.Do(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	b, err := httpclient.ReadAll(resp, limit)
	var throttled *httpclient.ThrottledError
	switch {
	case err == nil:
		return b, nil
	case errors.Is(err, httpclient.ErrNotFound):
		return nil, ErrNotFound
	case errors.As(err, &throttled):
		return nil, throttled
	}
	return nil, errors.Wrap(ErrUnavailable, err.Error())
}
