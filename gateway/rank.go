package gateway

import (
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/overload"
)

// urgency is the rank of a request among those of its service. The zero value is that of a service
// whose requests all have the same rank.
type urgency struct {
	rank  int // 0 is the most urgent
	ranks int // how many ranks the requests of the service have
}

// urgencyOf returns the urgency of an exchange whose route, team and service are known.
func (x *exchange) urgencyOf() urgency {
	if x.g.cfg.Off.Has(mechanism.Ranks) {
		return urgency{}
	}
	return urgency{x.config.RankOf(x.service, x.route, x.team), x.config.Ranks(x.service)}
}

// differs reports whether requests of the service differ in rank.
func (u urgency) differs() bool { return u.ranks > 1 }

// retryReserve returns which part of the retry budget the request leaves to more urgent ones.
func (u urgency) retryReserve() float64 { return overload.RetryReserve(u.rank, u.ranks) }

// returnOrder maps a uniform random number to the part of the spread of Retry-After that belongs to
// the rank.
func (u urgency) returnOrder(random float64) float64 {
	return overload.ReturnOrder(u.rank, u.ranks, random)
}

// yield returns the part of the longest wait at a target that the request leaves to more urgent ones
// while the service is short of room.
func (u urgency) yield() float64 { return overload.Yield(u.rank, u.ranks) }
