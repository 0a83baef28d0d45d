package spread

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/membership"
)

// maxRetryShift bounds the doubling of a source's retry wait.
const maxRetryShift = 5

// source is the store or the origin as this host sees it.
type source struct {
	known    bool
	inflight int
	failures int
	blocked  time.Time
}

func (s *source) worked() { s.failures = 0 }

// openSource returns the source to read from now: the store while it is
// known to have the version and is not blocked, else the origin.
func (p *Planner) openSource(now time.Time) (SourceKind, bool) {
	for _, k := range []SourceKind{FromStore, FromOrigin} {
		s := &p.sources[k]
		if !s.known {
			continue
		}
		if now.Before(s.blocked) {
			if k == FromStore && s.failures == 0 {
				return 0, false // limited, not broken: wait for it
			}
			continue
		}
		return k, s.inflight < p.cfg.PerSource
	}
	return 0, false
}

// sourceFailed notes a failure. A store without the version is not asked
// again. A limit is obeyed for the time asked and a random part more, so that
// hosts told to wait together do not return together.
func (p *Planner) sourceFailed(now time.Time, k SourceKind, fault Fault, wait time.Duration) {
	s := &p.sources[k]
	if fault == FaultMissing && k == FromStore {
		s.known = false
		return
	}
	if fault == FaultLimited {
		s.failures = 0
		s.blocked = now.Add(wait + time.Duration(p.rng.Int64N(int64(wait)+1)))
		return
	}
	base := p.cfg.SourceRetry << min(s.failures, maxRetryShift)
	s.failures++
	s.blocked = now.Add(base/2 + time.Duration(p.rng.Int64N(int64(base))))
}

// maxRank is how many hosts may step in for a chunk's first reader, one after
// the other. Beyond it, every host may read.
const maxRank = 4

// duty is a chunk that this host reads from the source when its rank's turn
// has come.
type duty struct {
	chunk int
	rank  int
}

// readers holds this host's duties. They follow from rendezvous hashing over
// the live hosts, so no host needs to be told.
type readers struct {
	mine []duty // by rank, then in a random but fixed order
	// importRank is this host's place among the hosts of its failure domain
	// for fetching a chunk from another domain.
	importRank []uint8
}

func assign(key string, self Node, count int, nodes []Node) readers {
	r := readers{importRank: make([]uint8, count)}
	scores := make([]uint64, len(nodes))
	for i, n := range nodes {
		scores[i] = membership.Score(key, n.Host)
	}
	own := membership.Score(key, self.Host)
	for c := range count {
		salt := membership.Score(key, strconv.Itoa(c))
		mine := combine(own, salt)
		rank, domainRank := 0, 0
		for i, n := range nodes {
			if n.Host == self.Host || combine(scores[i], salt) <= mine {
				continue
			}
			rank++
			if n.Domain == self.Domain {
				domainRank++
			}
		}
		r.importRank[c] = uint8(min(domainRank, maxRank))
		r.mine = append(r.mine, duty{c, min(rank, maxRank)})
	}
	slices.SortStableFunc(r.mine, func(a, b duty) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(combine(own, uint64(a.chunk)), combine(own, uint64(b.chunk))))
	})
	return r
}

// combine mixes a host's score with a chunk's, so that each chunk ranks the
// hosts in an order of its own.
func combine(host, chunk uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], host)
	binary.LittleEndian.PutUint64(b[8:], chunk)
	return xxhash.Sum64(b[:])
}
