// Package configservice is a client for the platform's configuration service,
// which supports reads and watches only. The interface is described in
// docs/PLATFORM.md.
package configservice

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/intent"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// maxHeadBytes is the maximum size in bytes of a head, which describes a published revision
// of the fleet file and lists the parts that the file is split into.
const maxHeadBytes = intent.MaxPart

// callTimeout bounds a call. A watch, which waits for a change, may take this much longer
// than the wait given to Watch.
const callTimeout = 5 * time.Second

// Errors returned by Client.
var (
	ErrUnchanged      = errors.New("configservice: unchanged")
	ErrUnavailable    = errors.New("configservice: unavailable")
	ErrPartNotFound   = errors.New("configservice: part not found")
	ErrDigestMismatch = errors.New("configservice: part does not match its digest")
)

// Client reads from one configuration service.
type Client struct {
	base string
	http httpc.Service
}

// New returns a client for the service at the base URL.
func New(base string) *Client { return NewWithClient(httpclient.New("configservice"), base) }

// NewWithClient is like New, with the given HTTP client.
func NewWithClient(h httpc.Service, base string) *Client { return &Client{base: base, http: h} }

// Watch waits for a head of another revision than the one that after identifies, and returns
// ErrUnchanged if there is none within the given wait. With a zero wait, Watch is a plain
// read.
func (c *Client) Watch(ctx context.Context, after intent.Ref, wait time.Duration) (intent.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/head?revision=%d&digest=%s&wait_ms=%d", c.base, after.Revision, after.Digest, wait.Milliseconds())
	resp, err := c.http.Do(ctx, http.MethodGet, url, nil)
	if err != nil {
		return intent.Head{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if resp.StatusCode == http.StatusNotModified {
		resp.Body.Close()
		return intent.Head{}, ErrUnchanged
	}
	b, err := httpclient.ReadAll(resp, maxHeadBytes)
	if err != nil {
		return intent.Head{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return intent.ParseHead(b)
}

// Part reads the part of a fleet file that has the digest d and verifies the digest.
func (c *Client) Part(ctx context.Context, d digest.Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.http.Do(ctx, http.MethodGet, c.base+"/v1/parts/"+d.String(), nil)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	b, err := httpclient.ReadAll(resp, intent.MaxPart)
	switch {
	case errors.Is(err, httpclient.ErrNotFound):
		return nil, ErrPartNotFound
	case err != nil:
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	case digest.Of(b) != d:
		return nil, ErrDigestMismatch
	}
	return b, nil
}
