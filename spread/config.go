package spread

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/intent"
)

// Config holds the parameters of a Planner.
type Config struct {
	// Goal selects whether transfer time or traffic at the origin is minimised.
	// Default intent.SpreadTime.
	Goal intent.Spread
	// Pipeline is the number of fetches that a host keeps in flight, not counting long
	// polls (see LongPollTimeout). A longer pipeline keeps the link busy while peers are
	// busy, but uses more memory. Default 12.
	Pipeline int
	// PerPeer is the maximum number of fetches in flight from one peer. Default 2.
	PerPeer int
	// PerSource is the maximum number of fetches in flight from each of the origin and the
	// store. It is doubled for intent.SpreadTime. Default 1.
	PerSource int
	// LocalNeighbours and RemoteNeighbours are the numbers of neighbours in this and in
	// other failure domains that report the chunks they hold to this host. With more
	// neighbours chunks are found sooner, at the cost of more control traffic.
	// Defaults 14 and 8.
	LocalNeighbours, RemoteNeighbours int
	// LongPollTimeout is how long a reader may delay its reply to a request for a chunk
	// that it is about to receive; such a request is a long poll. Default 10 s.
	LongPollTimeout time.Duration
	// MaxLongPolls bounds the number of long polls in flight. Default 32.
	MaxLongPolls int
	// PendingRetry is the mean delay before a chunk is requested again that its reader did
	// not have yet. Default 500 ms.
	PendingRetry time.Duration
	// ReaderInterval is the minimum time between two direct requests to readers that are
	// made because neighbours do not fill the pipeline. Default 200 ms.
	ReaderInterval time.Duration
	// UnavailableFor is how long a reader is skipped that is unreachable or cannot
	// obtain the chunk. A shorter time returns to the reader sooner; a longer one causes
	// fewer duplicate reads of the source. Default 10 s.
	UnavailableFor time.Duration
	// FetchTimeout is the minimum timeout of a fetch from a peer. The timeout grows with
	// the duration of fetches. Default 10 s.
	FetchTimeout time.Duration
	// BanDuration is the first ban of a peer that sent a corrupt chunk or failed
	// repeatedly, for example because it lacks chunks that it reported. The ban doubles
	// with each further one, up to a factor of 32. Default 30 s.
	BanDuration time.Duration
	// SourceBackoff is the mean back-off after the first failure of a source (the store or
	// the origin). The back-off doubles with each further failure, up to a factor of 32.
	// Default 500 ms.
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

// Node is a host that participates in a transfer.
type Node struct {
	Host   string
	Domain string
}

// SourceKind is the kind of source of a chunk.
type SourceKind uint8

// Kinds of source, in order of preference.
const (
	FromPeer SourceKind = iota + 1
	FromStore
	FromOrigin
)

// String returns the name of the kind.
func (k SourceKind) String() string { return [...]string{"", "peer", "store", "origin"}[k] }

// Fetch is the fetch of one chunk from one source.
type Fetch struct {
	Chunk           int
	Kind            SourceKind
	Peer            string        // host, for FromPeer
	CrossDomain     bool          // the peer is in another failure domain
	ToReader        bool          // the peer is requested as the chunk's reader and may not have it yet
	LongPollTimeout time.Duration // how long the peer may delay its reply until it has the chunk
	Started         time.Time
	Deadline        time.Time
}

// Fault is the reason for a failed fetch.
type Fault uint8

// Faults of a fetch.
const (
	FaultUnreachable Fault = iota + 1 // no connection, reset or timeout
	FaultMissing                      // the source does not have the chunk
	FaultCorrupt                      // the digest did not match
	FaultRateLimited                  // the source asked to retry later
	FaultPending                      // the reader does not have the chunk yet
)
