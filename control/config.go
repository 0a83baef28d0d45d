// Package control maintains a process's view of the fleet: the revision of the
// fleet file in force, the hosts, and whether the process is a reader, that is,
// watches the platform on behalf of others. The platform consists of the
// configuration service, which publishes the revisions of the fleet file, and
// the host list. The head is the description of the newest published revision.
// Processes exchange heartbeats to pass on what they have received.
//
// The package is used by `springgate serve` and its agents;
// package gateway has a Control of its own. One goroutine owns the state and
// publishes immutable snapshots, which request goroutines read. Decisions are
// made by the pure packages intent and membership.
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
	Addr        string // address of this process's peer listener
	Domain      string
	Role        membership.Role
	Incarnation uint64

	// HeartbeatInterval is the time between two rounds of heartbeats. A
	// shorter interval propagates updates faster and sends more bytes. Default
	// 500 ms.
	HeartbeatInterval time.Duration
	// LocalFanout and RemoteFanout are the number of hosts of this and of other
	// failure domains that are sent a heartbeat in each round. Defaults 2 and 1.
	LocalFanout, RemoteFanout int
	// PauseThreshold is the time between two ticks (see Node.tick) above which
	// the process assumes that it was paused. Its state may then be stale, so
	// the process does not act on its state until the head, which names the
	// latest published revision, is confirmed again. Default 2 s.
	PauseThreshold time.Duration
	// WatchTimeout is how long a reader's watch of the head blocks at the
	// platform if nothing changes. It bounds the age of the reader's last
	// confirmation of the head. Default 2 s.
	WatchTimeout time.Duration
	// HostListInterval is the time between two reads of the host list by a
	// reader. Default 1 s.
	HostListInterval time.Duration
	// HistoryRetention is how long replaced revisions are retained. Default
	// 10 min.
	HistoryRetention time.Duration
	// FleetSize is how many processes may start at the same time. Each delays
	// its first read of the platform at random, so that all together stay under
	// StartRate.
	// Default 50.
	FleetSize int
	// StartRate limits the first reads of the platform by all processes of the
	// fleet together, per second. Default
	// 1000.
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

// Snapshot is an immutable copy of the state of a Node.
type Snapshot struct {
	// Accepted is the revision in force, or nil before the first.
	Accepted *intent.Accepted
	// PastHosts lists the hosts that services had under replaced revisions.
	PastHosts []PastHosts
	// KnownSince is the time since which PastHosts lists every replaced revision.
	KnownSince time.Time
	// ConfirmedAt is when the platform last confirmed that the revision in force
	// is the published one.
	ConfirmedAt time.Time
	// Members are the known hosts, ordered by name.
	Members     []membership.Member
	HostsSerial uint64
	// CheckedAt is the time of the last tick.
	CheckedAt time.Time
	// Awake is false after a pause of the process, during which its state may
	// have become stale, until the platform has confirmed that the revision in
	// force is the published one.
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

// Member returns the named host and whether it is known.
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
