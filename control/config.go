// Package control is the part of a process of `springgate serve` and its agents that keeps its
// state about the fleet (package gateway has a Control of its own): the fleet file in force, the hosts, and the reader's duty. One
// goroutine owns that state and publishes immutable snapshots; traffic
// goroutines only read them. Decisions are made by the pure packages intent
// and membership.
package control

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/membership"
)

// Config holds the settings of a Node.
type Config struct {
	Host        string
	Addr        string // address of the own peer listener
	Domain      string
	Role        membership.Role
	Incarnation uint64

	// HeartbeatInterval is the time between two rounds of heartbeats. Shorter spreads
	// repairs faster and costs more bytes. Default 500 ms.
	HeartbeatInterval time.Duration
	// LocalFanout and RemoteFanout are how many hosts of this and of other failure domains
	// get a heartbeat each round. Defaults 2 and 1.
	LocalFanout, RemoteFanout int
	// PauseThreshold is the gap in the own clock after which the process takes itself
	// for stale and catches up before it acts. Default 2 s.
	PauseThreshold time.Duration
	// WatchTimeout is how long a reader's watch waits at the platform. It bounds
	// the age of the proof that the head is current. Default 2 s.
	WatchTimeout time.Duration
	// HostListInterval is how often a reader reads the host list. Default 1 s.
	HostListInterval time.Duration
	// HistoryRetention is how long earlier revisions are remembered. Default 10 min.
	HistoryRetention time.Duration
	// FleetSize is how many processes may start at once; the first read is
	// delayed at random so that they stay under StartRate. Default 50.
	FleetSize int
	// StartRate bounds the first reads a second of all. Default 1000.
	StartRate float64

	Readers    membership.ReaderConfig
	Membership membership.Config
}

func (c Config) applyDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 500*time.Millisecond)
	c.LocalFanout = cmp.Or(c.LocalFanout, 2)
	c.RemoteFanout = cmp.Or(c.RemoteFanout, 1)
	c.PauseThreshold = cmp.Or(c.PauseThreshold, 2*time.Second)
	c.WatchTimeout = cmp.Or(c.WatchTimeout, 2*time.Second)
	c.HostListInterval = cmp.Or(c.HostListInterval, time.Second)
	c.HistoryRetention = cmp.Or(c.HistoryRetention, 10*time.Minute)
	c.FleetSize = cmp.Or(c.FleetSize, 50)
	c.StartRate = cmp.Or(c.StartRate, 1000.0)
	c.Readers = c.Readers.ApplyDefaults()
	return c
}

// Snapshot is the immutable state of a Node at one time.
type Snapshot struct {
	// Accepted is the revision in force, or nil before the first.
	Accepted *intent.Accepted
	// PastHosts lists the hosts that services had under earlier revisions.
	PastHosts []PastHosts
	// KnownSince is the time from which Past is complete.
	KnownSince time.Time
	// ConfirmedAt is when the revision in force was last proven to be the published
	// one.
	ConfirmedAt time.Time
	// Members are the hosts known, ordered by name.
	Members []membership.Member
	HostsSerial  uint64
	// CheckedAt is when the state was last looked over.
	CheckedAt time.Time
	// Awake is false after a pause, until the process has caught up.
	Awake  bool
	Reader bool
}

// Fleet returns the fleet file in force, or nil.
func (s *Snapshot) Fleet() *intent.Fleet {
	if s.Accepted == nil {
		return nil
	}
	return s.Accepted.Fleet
}

// Revision returns the number of the revision in force, or 0.
func (s *Snapshot) Revision() uint64 {
	if s.Accepted == nil {
		return 0
	}
	return s.Accepted.Head.Revision
}

// Member returns the named host.
func (s *Snapshot) Member(host string) (membership.Member, bool) {
	lo, hi := 0, len(s.Members)
	for lo < hi {
		mid := (lo + hi) / 2
		if s.Members[mid].Host < host {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(s.Members) && s.Members[lo].Host == host {
		return s.Members[lo], true
	}
	return membership.Member{Listed: membership.Listed{Host: host}, State: membership.Gone}, false
}
