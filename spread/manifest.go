// Package spread decides which chunk of a version of model weights a host fetches next, and
// from which source: another host (a peer), the store or the origin. The origin and the store are
// servers of the platform that have the weights; the store, where there is one, is tried first.
// Each chunk has a reader, the host that fetches it from the store or the origin on behalf of the
// others, and in each failure domain a host that imports it, that is, requests it from the reader
// on behalf of the domain; for both there are substitutes. Each host also has neighbours, peers
// that report to it which chunks they hold. The package does no I/O; the time and the random
// source are passed in.
package spread

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
)

// Limits of a manifest.
const (
	// MaxChunk is the largest chunk in bytes; it must fit in one frame (see peer.MaxFrame).
	MaxChunk = 8 << 20
	// MaxChunks bounds the number of chunks of a version and thus the size of bitmaps.
	MaxChunks = 1 << 16
)

// Manifest lists the chunks of a version. Its digest identifies the version.
type Manifest struct {
	Name      string          `json:"name"`
	Size      int64           `json:"size"`
	ChunkSize int             `json:"chunk_size"`
	Chunks    []digest.Digest `json:"chunks"`
}

// ErrManifest is wrapped by all errors about malformed manifests.
var ErrManifest = errors.New("spread: malformed manifest")

// ParseManifest decodes a manifest and checks that its sizes are consistent and that its
// digest is want.
func ParseManifest(b []byte, want digest.Digest) (*Manifest, error) {
	if got := digest.Of(b); got != want {
		return nil, errors.Wrapf(ErrManifest, "digest %s, want %s", got.Short(), want.Short())
	}
	var m Manifest
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return nil, errors.Wrap(ErrManifest, err.Error())
	}
	if m.ChunkSize <= 0 || m.ChunkSize > MaxChunk || m.Size <= 0 {
		return nil, errors.Wrapf(ErrManifest, "size %d, chunk size %d", m.Size, m.ChunkSize)
	}
	n := (m.Size + int64(m.ChunkSize) - 1) / int64(m.ChunkSize)
	if n > MaxChunks || int64(len(m.Chunks)) != n {
		return nil, errors.Wrapf(ErrManifest, "%d chunks, want %d", len(m.Chunks), n)
	}
	return &m, nil
}

// NewManifest returns the manifest of content that is split into chunks of chunkSize
// bytes, and its encoding.
func NewManifest(name string, chunkSize int, content []byte) (*Manifest, []byte, error) {
	m := &Manifest{Name: name, Size: int64(len(content)), ChunkSize: chunkSize}
	for at := 0; at < len(content); at += chunkSize {
		m.Chunks = append(m.Chunks, digest.Of(content[at:min(len(content), at+chunkSize)]))
	}
	b, err := json.Marshal(m)
	return m, b, errors.Wrap(err, "spread: encode manifest")
}

// ChunkLen returns the length of chunk i in bytes.
func (m *Manifest) ChunkLen(i int) int {
	if i == len(m.Chunks)-1 {
		return int(m.Size - int64(m.ChunkSize)*int64(i))
	}
	return m.ChunkSize
}
