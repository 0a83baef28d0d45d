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
	// Near and Far are how many neighbours in this and in other failure
	// domains tell this host what they hold. More find chunks sooner and
	// cost more control bytes. Defaults 14 and 8.
	Near, Far int
	// StepIn is how long a host waits for the reader before it in rank.
	// Shorter recovers sooner from a dead reader and reads more chunks
	// twice. Default 3 s.
	StepIn time.Duration
	// FetchTimeout is when a fetch is given up and asked elsewhere.
	// Default 10 s.
	FetchTimeout time.Duration
	// Ban is how long a peer that sent a corrupt chunk or lied is left
	// alone the first time; it doubles. Default 30 s.
	Ban time.Duration
	// SourceRetry is the first wait after a source failed; it doubles up to
	// 20 times. Default 500 ms.
	SourceRetry time.Duration
}

func (c Config) applyDefaults() Config {
	c.Goal = cmp.Or(c.Goal, intent.SpreadTime)
	c.Pipeline = cmp.Or(c.Pipeline, 12)
	c.PerPeer = cmp.Or(c.PerPeer, 2)
	c.PerSource = cmp.Or(c.PerSource, 1)
	c.Near = cmp.Or(c.Near, 14)
	c.Far = cmp.Or(c.Far, 8)
	c.StepIn = cmp.Or(c.StepIn, 3*time.Second)
	c.FetchTimeout = cmp.Or(c.FetchTimeout, 10*time.Second)
	c.Ban = cmp.Or(c.Ban, 30*time.Second)
	c.SourceRetry = cmp.Or(c.SourceRetry, 500*time.Millisecond)
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
	Peer     string // host, for FromPeer
	Far      bool   // the peer is in another failure domain
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
	FaultLimited                      // the source asked to wait
)
