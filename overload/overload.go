// Package overload decides which requests of a service are admitted while its targets have less
// room than its callers ask for. It performs no I/O; clock readings are arguments.
//
// Callers are divided into classes by rank and team. Each entry counts the work that each class
// offers and the work that it could place at targets, and tells both to the other entries. From
// these reports each entry computes the same admission level of a service: the fraction of each
// class's requests that is admitted. A request over the level is refused on arrival, before any
// target is asked. Package dispatch decides at which target an admitted request runs.
package overload

import (
	"math"
	"time"
)

// Class identifies requests that are admitted alike.
type Class struct {
	Rank int    `msgpack:"r"`           // 0 is the most urgent, 9 the least
	Team string `msgpack:"t,omitempty"` // empty for callers without a team
}

// Standing is what a request can still achieve.
type Standing uint8

// Standings of a request.
const (
	Fresh    Standing = iota // can be answered within its objective
	Returned                 // of a caller that was refused before; can only be late
	Begun                    // a stream that was partly delivered; always admitted
)

// Request is a request to be admitted.
type Request struct {
	Service  string
	Class    Class
	Work     float64 // seconds of one target's time
	Standing Standing
	// Waited is, for RecordUnplaced, how long the request has waited for a place since it was
	// admitted. Zero if unknown.
	Waited time.Duration
}

// Decision is the result of Controller.Admit.
type Decision struct {
	Admitted bool
	Limited  bool    // a level is in force for the service
	Fraction float64 // part of the class's fresh requests that is admitted
}

// ClassDemand is the work that a class offers to one entry.
type ClassDemand struct {
	Class Class   `msgpack:"c"`
	Work  float64 `msgpack:"w"` // seconds of target time per second
	// Teams is positive if the demand is that of several teams of the rank, which are too small
	// to be listed one by one. The class's team is then empty.
	Teams int `msgpack:"n,omitempty"`
}

// Report is what one entry tells the others about a service that is short of room. Rates are in
// seconds of target time per second.
type Report struct {
	Placed   float64       `msgpack:"p"` // placed at targets
	Unplaced float64       `msgpack:"u"` // admitted, but no place found
	Refusals float64       `msgpack:"r"` // requests per second that found no place
	Level    float64       `msgpack:"l"` // room over the demand of all entries, at most 1; 1 if it holds no level
	Short    bool          `msgpack:"s"` // admitted requests found no place lately
	Offered  []ClassDemand `msgpack:"o"` // by fresh requests
}

// ClassLevel is the level of one class.
type ClassLevel struct {
	Class    Class
	Offered  float64 // by all entries, in seconds of target time per second
	Fraction float64 // admitted
}

// Level is the admission level of a service.
type Level struct {
	Service string
	Room    float64 // work that the targets can do, in seconds of target time per second
	Entries int     // entries whose reports are part of it, with this one
	Classes []ClassLevel
}

// Config holds the parameters of a Controller.
type Config struct {
	// Keep is the part of its proportional share of the room that each rank keeps, however much
	// more urgent ranks ask for, at most half. Default a third: each rank is served at least a
	// third as often as all requests. Negative for none.
	Keep float64
}

const (
	defaultKeep = 1.0 / 3
	maxKeep     = 0.5 // the kept parts of all ranks fit in the room
)

func (c Config) withDefaults() Config {
	switch {
	case c.Keep < 0:
		c.Keep = 0
	case c.Keep == 0 || math.IsNaN(c.Keep):
		c.Keep = defaultKeep
	}
	c.Keep = min(c.Keep, maxKeep)
	return c
}
