// Package overload decides which requests of a service are admitted while its targets have less
// room than its callers ask for. It performs no I/O; clock readings are arguments.
//
// Callers are divided into classes by rank and team. Each entry counts the work that each class
// offers and the work that it could place at targets, and tells both to the other entries. From
// these reports each entry computes the same admission level of a service: the fraction of each
// class's requests that is admitted. A request over the level is refused on arrival, before any
// target is asked. Package dispatch decides at which target an admitted request runs.
package overload

import "time"

// Class identifies requests that are admitted alike.
type Class struct {
	Rank int    // 0 is the most urgent
	Team string // empty for callers without a team
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
}

// Decision is the result of Controller.Admit.
type Decision struct {
	Admitted bool
	Limited  bool    // a level is in force for the service
	Fraction float64 // part of the class's fresh requests that is admitted
}

// ClassDemand is the work that a class offers to one entry.
type ClassDemand struct {
	Class Class
	Work  float64 // seconds of target time per second
}

// Report is what one entry tells the others about a service that is short of room.
type Report struct {
	Placed  float64       // work placed at targets, in seconds of target time per second
	Short   bool          // admitted requests found no place lately
	Offered []ClassDemand // by fresh requests
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
	// more urgent ranks ask for. Default a third: each rank is served at least a third as often
	// as all requests.
	Keep float64
}

// Controller keeps the admission levels of an entry. Its methods may be called concurrently.
type Controller struct{}

// NewController returns a controller without demand, which admits all requests.
func NewController(Config) *Controller { return &Controller{} }

// Admit counts a request that has arrived and decides whether it may ask for a place.
func (*Controller) Admit(time.Time, Request) Decision { return Decision{Admitted: true, Fraction: 1} }

// RecordPlaced records that an admitted request has a place at a target.
func (*Controller) RecordPlaced(time.Time, Request) {}

// RecordUnplaced records that an admitted request found no place in time.
func (*Controller) RecordUnplaced(time.Time, Request) {}

// SetUtilization records which part of the capacity of a service's targets is in use, as far as
// this entry knows. No level is held while a considerable part is idle.
func (*Controller) SetUtilization(now time.Time, service string, utilization float64) {}

// Reports returns what to tell other entries, by service. It is empty unless a service has been
// short of room lately.
func (*Controller) Reports(time.Time) map[string]Report { return nil }

// SetReports replaces what another entry has told. A report is forgotten if it is not repeated.
func (*Controller) SetReports(now time.Time, from string, reports map[string]Report) {}

// Forget drops what an entry has told that is gone.
func (*Controller) Forget(from string) {}

// Levels returns the levels in force, sorted by service, for logs, metrics and operators.
func (*Controller) Levels(time.Time) []Level { return nil }
