package fleet

import "time"

// Announcement is when the operators announced a version of a model, as known to this process.
type Announcement struct {
	At time.Time // by this process's clock
	// Estimated is set if the version had been announced before this process first read the
	// store. At is then so early that the time by which all engines must serve the version counts
	// as passed; an earlier time would make no difference. Otherwise the announcement was
	// observed at At, so it was made no later.
	Estimated bool
}

// Supersedes reports whether a is more accurate than old: an observed time takes precedence
// over an estimate, and of two of the same kind the earlier one.
func (a Announcement) Supersedes(old Announcement) bool {
	if a.Estimated != old.Estimated {
		return old.Estimated
	}
	return a.At.Before(old.At)
}
