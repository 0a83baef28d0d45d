// Package digest implements the content digest that identifies fleet file parts,
// manifests and weight chunks.
package digest

import (
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeebo/blake3"
)

// Prefix names the algorithm in the text form of a digest.
const Prefix = "blake3:"

// Size is the length of a digest in bytes.
const Size = 32

// Digest is the BLAKE3 digest of a byte string. docs/design/spread.md explains the choice of
// the algorithm.
type Digest [Size]byte

// Of returns the digest of b.
func Of(b []byte) Digest { return blake3.Sum256(b) }

// String returns the text form, "blake3:" and 64 hexadecimal digits.
func (d Digest) String() string { return Prefix + hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:6]) }

// IsZero reports whether d is the zero value.
func (d Digest) IsZero() bool { return d == Digest{} }

// Parse parses the text form.
func Parse(s string) (Digest, error) {
	var d Digest
	h, ok := strings.CutPrefix(s, Prefix)
	if !ok || len(h) != 2*Size {
		return d, errors.Errorf("digest %q: want %s and %d hexadecimal digits", s, Prefix, 2*Size)
	}
	if _, err := hex.Decode(d[:], []byte(h)); err != nil {
		return d, errors.Wrapf(err, "digest %q", s)
	}
	return d, nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	v, err := Parse(string(b))
	if err != nil {
		return err
	}
	*d = v
	return nil
}
