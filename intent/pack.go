package intent

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
)

// Part sizes. The file is split at line breaks chosen by a hash of the line
// (content-defined chunking), so that a small change to a large file changes
// few parts.
const (
	// MaxPart is the largest value that the configuration service stores, in
	// bytes.
	MaxPart = 1 << 20
	// minPart, in bytes, and cutMask give parts of about 16 KiB on average for
	// lines of 40 bytes.
	minPart = 8 << 10
	cutMask = 1<<8 - 1
	// maxParts is the maximum number of parts in a head.
	maxParts = 4096
)

// PartRef identifies a part of a fleet file.
type PartRef struct {
	Digest digest.Digest `json:"digest"`
	Size   int           `json:"size"`
}

// Head describes a published revision and lists its parts.
type Head struct {
	Format   int           `json:"format"`
	Revision uint64        `json:"revision"`
	Digest   digest.Digest `json:"digest"`
	Size     int           `json:"size"`
	Parts    []PartRef     `json:"parts"`
}

// Ref identifies a revision by its number and the digest of its file. Revisions
// are ordered by number and, if two heads have the same number, by digest, so
// that all processes agree on the highest.
type Ref struct {
	Revision uint64
	Digest   digest.Digest
}

// Ref returns the identity of the head.
func (h Head) Ref() Ref { return Ref{h.Revision, h.Digest} }

// Less reports whether r is ordered before o.
func (r Ref) Less(o Ref) bool {
	if r.Revision != o.Revision {
		return r.Revision < o.Revision
	}
	return bytes.Compare(r.Digest[:], o.Digest[:]) < 0
}

// Pack splits a fleet file into parts and returns them with the head that lists
// them. The file must be valid.
func Pack(revision uint64, b []byte) (Head, [][]byte) {
	h := Head{Format: Format, Revision: revision, Digest: digest.Of(b), Size: len(b)}
	parts := split(b)
	for _, p := range parts {
		h.Parts = append(h.Parts, PartRef{digest.Of(p), len(p)})
	}
	return h, parts
}

func split(b []byte) [][]byte {
	var parts [][]byte
	start, line := 0, 0
	for i, c := range b {
		size := i + 1 - start
		cut := size == MaxPart
		if c == '\n' {
			cut = cut || size >= minPart && xxhash.Sum64(b[line:i])&cutMask == 0
			line = i + 1
		}
		if cut {
			parts = append(parts, b[start:i+1])
			start = i + 1
		}
	}
	if start < len(b) {
		parts = append(parts, b[start:])
	}
	return parts
}

// Errors returned by ParseHead.
var (
	ErrHeadFormat = errors.New("intent: format of the head is newer than this release")
	ErrHeadShape  = errors.New("intent: malformed head")
)

// ParseHead decodes and checks a published head.
func ParseHead(b []byte) (Head, error) {
	var h Head
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&h); err != nil {
		return Head{}, errors.Wrap(ErrHeadShape, err.Error())
	}
	return h, h.check()
}

func (h Head) check() error {
	if h.Format > Format {
		return ErrHeadFormat
	}
	sum := 0
	for _, p := range h.Parts {
		if p.Size <= 0 || p.Size > MaxPart {
			return errors.Wrapf(ErrHeadShape, "part %s of %d bytes", p.Digest.Short(), p.Size)
		}
		sum += p.Size
	}
	switch {
	case h.Format < 1, h.Revision == 0, len(h.Parts) > maxParts:
		return errors.Wrapf(ErrHeadShape, "format %d, revision %d, %d parts", h.Format, h.Revision, len(h.Parts))
	case sum != h.Size, h.Size > MaxSize:
		return errors.Wrapf(ErrHeadShape, "size %d, parts of %d", h.Size, sum)
	}
	return nil
}
