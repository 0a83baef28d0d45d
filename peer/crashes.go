package peer

// Crashes reports request contents that were in progress on a target when it crashed, and
// which of these contents later ran without a crash. A request is identified by a keyed
// hash of its content; neither body nor API key is sent.
type Crashes struct {
	Crashes   []CrashReport
	Survivals []SurvivalReport
}

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
