package spread

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/intent"
)

// Config holds the constants of a Planner.
type Config struct {
	// Goal is what the operators weigh more.
	Goal intent.Spread
	// Pipeline is how many chunks are asked for at once. A longer pipeline
	// keeps the link busy while peers are busy and ties up more memory.
	// Default 12.
	Pipeline int
	// PerPeer is how many chunks are asked of one peer at once. Default 2.
	PerPeer int
	// PerSource is how many chunks are asked of the origin or store at once.
	// Default 1.
	PerSource int
	// LocalNeighbours and RemoteNeighbours are how many neighbours in this and in other failure
	// domains tell this host what they hold. More find chunks sooner and
	// cost more control bytes. Defaults 14 and 8.
	LocalNeighbours, RemoteNeighbours int
	// LongPollTimeout is how long a reader may hold a question for a chunk that it is
	// about to get. Default 10 s.
	LongPollTimeout time.Duration
	// MaxLongPolls is how many such questions may be open. Default 32.
	MaxLongPolls int
	// PendingRetry is the time after which a reader that still waits for a chunk
	// is asked for it again. Default 500 ms.
	PendingRetry time.Duration
	// ReaderInterval is the shortest time between two direct questions to readers.
	// Default 200 ms.
	ReaderInterval time.Duration
	// UnavailableFor is how long a reader that could not be reached, or does not have
	// the chunk and cannot get it, is passed over. Shorter comes back to it
	// sooner; longer reads less twice. Default 10 s.
	UnavailableFor time.Duration
	// FetchTimeout is the least time after which a fetch is given up and asked
	// elsewhere; it grows with what fetches take. Default 10 s.
	FetchTimeout time.Duration
	// BanDuration is how long a peer that sent a corrupt chunk or lied is left
	// alone the first time; it doubles. Default 30 s.
	BanDuration time.Duration
	// SourceBackoff is the first wait after a source failed; it doubles up to
	// 20 times. Default 500 ms.
	SourceBackoff time.Duration
}

func (c Config) applyDefaults() Config {
	c.Goal = cmp.Or(c.Goal, intent.SpreadTime)
	c.Pipeline = cmp.Or(c.Pipeline, 12)
	c.PerPeer = cmp.Or(c.PerPeer, 2)
	c.PerSource = cmp.Or(c.PerSource, 1)
	c.LocalNeighbours = cmp.Or(c.LocalNeighbours, 14)
	c.RemoteNeighbours = cmp.Or(c.RemoteNeighbours, 8)
	c.LongPollTimeout = cmp.Or(c.LongPollTimeout, 10*time.Second)
	c.MaxLongPolls = cmp.Or(c.MaxLongPolls, 32)
	c.PendingRetry = cmp.Or(c.PendingRetry, 500*time.Millisecond)
	c.ReaderInterval = cmp.Or(c.ReaderInterval, 200*time.Millisecond)
	c.UnavailableFor = cmp.Or(c.UnavailableFor, 10*time.Second)
	c.FetchTimeout = cmp.Or(c.FetchTimeout, 10*time.Second)
	c.BanDuration = cmp.Or(c.BanDuration, 30*time.Second)
	c.SourceBackoff = cmp.Or(c.SourceBackoff, 500*time.Millisecond)
	return c
}

// Node is a host that takes part in a transfer.
type Node struct {
	Host   string
	Domain string
}

// SourceKind tells where a chunk comes from.
type SourceKind uint8

// Kinds of source, in the order in which they are preferred.
const (
	FromPeer SourceKind = iota + 1
	FromStore
	FromOrigin
)

// String returns the name of the kind.
func (k SourceKind) String() string { return [...]string{"", "peer", "store", "origin"}[k] }

// Fetch is one chunk to get from one source.
type Fetch struct {
	Chunk    int
	Kind     SourceKind
	Peer     string        // host, for FromPeer
	CrossDomain      bool          // the peer is in another failure domain
	ToReader    bool          // the peer was asked as a reader; it may not have the chunk yet
	LongPollTimeout     time.Duration // how long the peer may hold the question
	Started  time.Time
	Deadline time.Time
}

// Fault says why a fetch failed.
type Fault uint8

// Faults of a fetch.
const (
	FaultUnreachable Fault = iota + 1 // no connection, reset or timeout
	FaultMissing                      // the source does not have the chunk
	FaultCorrupt                      // the digest did not match
	FaultRateLimited                      // the source asked to wait
	FaultPending                       // the reader asked is still waiting for it
)
