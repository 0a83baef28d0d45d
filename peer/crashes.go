package peer

// Crashes tells which requests targets ended under, and which of these have ended well.
// Requests are named by a keyed hash of their content; neither body nor API key is sent.
type Crashes struct {
	Crashes   []CrashReport
	Survivals []SurvivalReport
}

// Kind implements Message.
func (*Crashes) Kind() Kind { return kindCrashes }

// CrashReport is a life of a target that ended while a content was at work there.
type CrashReport struct {
	Content []byte // fingerprint
	Target  string // instance ID
	StartMs    int64  // when that life began, Unix milliseconds; 0 if not known
	AgeMs   int64  // since the connection broke
	Reporter    string // of the entry that saw it
	Retracted    bool   // the target was heard again: it had not ended
}

// SurvivalReport is a run of a content that a target survived.
type SurvivalReport struct {
	Content []byte
	AgeMs   int64
}
