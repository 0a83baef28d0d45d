package peer

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/springgate/springgate/overload"
)

// Bounds of the shortages in one message.
const (
	maxShortages       = 16
	maxShortageClasses = 256 // of each service
)

// Shortage tells what callers ask of a service that is short of targets. Work is in seconds of one
// target's time, per second.
type Shortage struct {
	Service string        `msgpack:"s"`
	Placed  float32       `msgpack:"p"` // work placed at targets by the sender
	Short   bool          `msgpack:"u"` // admitted requests found no target lately
	Offered []ClassDemand `msgpack:"o"`
}

// ClassDemand is the work that the callers of one rank and team offer to the sender.
type ClassDemand struct {
	Rank int     `msgpack:"r"`
	Team string  `msgpack:"t"`
	Work float32 `msgpack:"w"`
}

// EncodeShortages returns the wire form of reports by service. Of too many services it keeps the
// first in alphabetical order, of too many classes those with the most work.
func EncodeShortages(reports map[string]overload.Report) []Shortage {
	var out []Shortage
	for _, service := range slices.Sorted(maps.Keys(reports)) {
		r := reports[service]
		out = append(out, Shortage{Service: service, Placed: float32(r.Placed), Short: r.Short, Offered: encodeDemand(r.Offered)})
	}
	return out[:min(len(out), maxShortages)]
}

func encodeDemand(list []overload.ClassDemand) []ClassDemand {
	out := make([]ClassDemand, 0, len(list))
	for _, d := range list {
		out = append(out, ClassDemand{Rank: d.Class.Rank, Team: d.Class.Team, Work: float32(d.Work)})
	}
	slices.SortFunc(out, func(a, b ClassDemand) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Rank, b.Rank), strings.Compare(a.Team, b.Team))
	})
	return out[:min(len(out), maxShortageClasses)]
}

// DecodeShortages is the inverse of EncodeShortages. Values that no sender has are left out.
func DecodeShortages(list []Shortage) map[string]overload.Report {
	out := map[string]overload.Report{}
	for _, s := range list[:min(len(list), maxShortages)] {
		r := overload.Report{Placed: nonNegative(s.Placed), Short: s.Short}
		for _, d := range s.Offered[:min(len(s.Offered), maxShortageClasses)] {
			if work := nonNegative(d.Work); work > 0 && d.Rank >= 0 {
				r.Offered = append(r.Offered, overload.ClassDemand{Class: overload.Class{Rank: d.Rank, Team: d.Team}, Work: work})
			}
		}
		out[s.Service] = r
	}
	return out
}

// nonNegative returns 0 for negative values, infinities and NaN.
func nonNegative(v float32) float64 {
	if !(v > 0 && v <= maxWork) {
		return 0
	}
	return float64(v)
}

// maxWork is more than any fleet can do, in seconds of one target's time per second.
const maxWork = 1e9
