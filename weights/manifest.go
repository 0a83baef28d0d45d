// Package weights distributes the pieces of model weights from their origin to the hosts.
// Entries, the processes that callers connect to, act as relays. In each failure domain one
// entry, the reader, is responsible for fetching a given piece: in the origin's domain from
// the origin, in other domains from the reader in the origin's domain. So a version is read
// from the origin once and is sent once to each other failure domain.
//
// A relay holds a version if it keeps the version's pieces in memory as it receives them.
// An agent, the process beside an engine, fetches pieces from a relay and stages them, that
// is, puts them on the engine, which then loads them. Relays can read staged pieces from
// agents.
package weights

import (
	"context"
	"crypto/sha256"

	"github.com/pkg/errors"
)

// Errors of the package.
var (
	// ErrCorrupt is returned if data does not match its digest.
	ErrCorrupt = errors.New("weights: piece does not match its digest")
	// ErrNoSource is returned if no source (entry, agent or origin) provided the data.
	ErrNoSource = errors.New("weights: not available from any source")
)

// Manifest lists the digests of a version's pieces.
type Manifest struct {
	Model   string
	Version int
	Digests [][sha256.Size]byte
}

// Verify checks the data of one piece against its digest.
func (m *Manifest) Verify(index int, data []byte) error {
	if index < 0 || index >= len(m.Digests) || sha256.Sum256(data) != m.Digests[index] {
		return errors.Wrapf(ErrCorrupt, "%s version %d piece %d", m.Model, m.Version, index)
	}
	return nil
}

// CheckLength returns ErrCorrupt unless the manifest lists as many pieces as the model is split
// into; zero pieces means that the number is not known.
func (m *Manifest) CheckLength(pieces int) error {
	if pieces > 0 && len(m.Digests) != pieces {
		return errors.Wrapf(ErrCorrupt, "manifest of %s version %d lists %d pieces instead of %d", m.Model, m.Version, len(m.Digests), pieces)
	}
	return nil
}

// Origin is the client of the origin server of the weights.
type Origin interface {
	Manifest(ctx context.Context, addr, model string, version int) (*Manifest, error)
	Piece(ctx context.Context, addr, model string, version, index int) ([]byte, error)
}
