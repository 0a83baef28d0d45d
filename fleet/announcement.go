package fleet

import "time"

// Announcement is when a process holds the operators to have named something.
type Announcement struct {
	At time.Time // by this process's clock
	// Estimated says that the process was started later: At is then as early as it can
	// matter. Otherwise somebody saw it then, so that it was named no later than At.
	Estimated bool
}

// Supersedes reports whether a tells more than old does: one that was seen goes before
// one that is guessed, and of two of a kind the earlier one.
func (a Announcement) Supersedes(old Announcement) bool {
	if a.Estimated != old.Estimated {
		return old.Estimated
	}
	return a.At.Before(old.At)
}
