package peer

// Crashes reports request contents that were in progress on a target when it crashed, and
// which of these contents later ran without a crash. A request is identified by a keyed
// hash of its content; neither body nor API key is sent.
type Crashes struct {
	Crashes   []CrashReport
	Survivals []SurvivalReport
	// Added holds the fields that earlier releases do not know.
	Added CrashesAdded `msgpack:"-"`
}

// CrashesAdded are fields of Crashes that earlier releases do not know.
type CrashesAdded struct {
	// InFlightMs is, for each of Crashes in the same order, for how long the reporter had had requests with
	// the content or part in progress, in sum over them, since there were none and since the last crash.
	InFlightMs []int64
}

func (c *Crashes) extension() any { return &c.Added }

func (c *Crashes) hasExtension() bool { return len(c.Added.InFlightMs) > 0 }

// Kind implements Message.
func (*Crashes) Kind() Kind { return kindCrashes }

// CrashReport reports that a target's process ended while a request content, or a request with a part
// in its prompt, was in progress there.
type CrashReport struct {
	Content   []byte // fingerprint of the content or part
	Target    string // instance ID
	StartMs   int64  // start of that process, Unix milliseconds; 0 if unknown
	AgeMs     int64  // time since the connection to the target broke
	Reporter  string // host of the entry that observed the crash
	Retracted bool   // the same process responded again: it had not crashed
}

// SurvivalReport reports that a target completed a request content without a crash.
type SurvivalReport struct {
	Content []byte // fingerprint
	AgeMs   int64  // time since the request completed
}
