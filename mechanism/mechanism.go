// Package mechanism names the mechanisms for serving requests and for distributing model weights
// that can be disabled individually, to measure the effect of each. All are enabled by default.
package mechanism

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Mechanism identifies a mechanism that can be disabled.
type Mechanism uint8

// Mechanisms, with the behavior when each is disabled.
const (
	CommonWait     Mechanism = iota // each request may wait at a target as long as its own latency objective allows
	OverdueLast                     // retries of refused callers have the precedence of first attempts
	Patience                        // requests other than retries are refused without waiting for a target
	RetryAfter                      // refused callers are told to retry after 1 s
	Homes                           // entries reserve nothing at a target's home entry, which counts all requests to it
	SharedLoads                     // each entry knows only the load of its own requests at a target
	SharedSilence                   // each entry detects silent targets on its own
	RemoteCost                      // targets in other failure domains cost no more than local ones
	Ejection                        // targets that fail requests stay in rotation
	Resume                          // broken streams are not resumed at another target
	LateFirstEvent                  // requests wait for the first event of a silent target until their deadline
	Turns                           // engines load a version as soon as its weights are staged at them, without staggering
	OlderVersion                    // a version is not loaded while a newer one is expected
	NearRelay                       // pieces of weights are fetched from the origin, not from nearby agents
	Quarantine                      // requests that crash targets are sent again
	Ranks                           // all requests of a service have the same rank
	TargetSpeed                     // all targets of a service are taken to be equally fast
	AdmissionLevel                  // requests over the share of their rank and team are not refused on arrival
	ByteBudget                      // requests may hold any amount of memory
	count
)

var names = [count]string{"common-wait", "overdue-last", "patience", "retry-after", "homes", "shared-loads", "shared-silence",
	"remote-cost", "ejection", "resume", "late-first-event", "turns", "older-version", "near-relay", "quarantine", "ranks", "target-speed", "admission-level", "byte-budget"}

// String returns the name of the mechanism.
func (m Mechanism) String() string { return names[m] }

// Names returns the names of all mechanisms.
func Names() []string { return names[:] }

// Off is a set of disabled mechanisms.
type Off uint32

// Has reports whether a mechanism is disabled.
func (o Off) Has(m Mechanism) bool { return o&(1<<m) != 0 }

// With returns the set with m added.
func (o Off) With(m Mechanism) Off { return o | 1<<m }

// ErrUnknown is returned for an unknown mechanism name.
var ErrUnknown = errors.New("mechanism: unknown name")

// Parse parses a comma-separated list of mechanism names.
func Parse(list string) (Off, error) {
	var out Off
	for _, name := range strings.Split(list, ",") {
		if name == "" {
			continue
		}
		i := slices.Index(names[:], name)
		if i < 0 {
			return 0, errors.Wrap(ErrUnknown, name)
		}
		out = out.With(Mechanism(i))
	}
	return out, nil
}
