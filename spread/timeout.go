package spread

import "time"

// Constants of the timeout of a fetch.
const (
	averageWeight       = 0.1 // weight of a new sample in the average
	timeoutFactor       = 4   // factor of the average duration
	maxTimeoutFactor    = 16  // factor of the minimum timeout; bounds the timeout
	sourceTimeoutFactor = 6   // factor of FetchTimeout, for the minimum timeout at a source, where many hosts queue
)

// adaptiveTimeout is the timeout of fetches from one kind of source. It follows the duration of
// successful fetches: on a slow or shared link a chunk may queue behind others for a long time
// without a fault.
type adaptiveTimeout struct {
	minimum time.Duration
	average time.Duration
	current time.Duration
}

func newAdaptiveTimeout(k SourceKind, minimum time.Duration) adaptiveTimeout {
	if k != FromPeer {
		minimum *= sourceTimeoutFactor
	}
	return adaptiveTimeout{minimum: minimum, current: minimum}
}

// observe adapts the timeout to the duration of a successful fetch.
func (a *adaptiveTimeout) observe(duration time.Duration) {
	if a.average == 0 {
		a.average = duration
	}
	a.average += time.Duration(averageWeight * float64(duration-a.average))
	a.current = min(max(a.minimum, timeoutFactor*a.average), maxTimeoutFactor*a.minimum)
}

// increase doubles the timeout after fetches have timed out.
func (a *adaptiveTimeout) increase() { a.current = min(2*a.current, maxTimeoutFactor*a.minimum) }
