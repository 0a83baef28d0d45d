// Package weights brings the pieces of model weights from their origin to the
// hosts. Entries relay: of each failure domain one entry per piece fetches it
// once, in the origin's domain from the origin and elsewhere from there, so
// that a version leaves the origin once and crosses each border once.
package weights

import (
	"context"
	"crypto/sha256"

	"github.com/pkg/errors"
)

// Errors of the package.
var (
	// ErrCorrupt says that bytes do not match their digest.
	ErrCorrupt = errors.New("weights: piece does not match its digest")
	// ErrNoSource says that no entry and no origin could serve.
	ErrNoSource = errors.New("weights: no source could serve")
)

// Manifest lists the digests of a version's pieces.
type Manifest struct {
	Model   string
	Version int
	Digests [][sha256.Size]byte
}

// Verify checks the bytes of one piece.
func (m *Manifest) Verify(index int, data []byte) error {
	if index < 0 || index >= len(m.Digests) || sha256.Sum256(data) != m.Digests[index] {
		return errors.Wrapf(ErrCorrupt, "%s version %d piece %d", m.Model, m.Version, index)
	}
	return nil
}

// Origin is where weights come from.
type Origin interface {
	Manifest(ctx context.Context, addr, model string, version int) (*Manifest, error)
	Piece(ctx context.Context, addr, model string, version, index int) ([]byte, error)
}
