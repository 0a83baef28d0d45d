package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overlay"
	"github.com/springgate/springgate/peer"
)

const (
	// startHold is the longest time for which an entry that starts waits to learn which entries
	// there are, before it reads its first copy of the store: a link to a seed and a few rounds.
	// Entries of a large fleet that read the store as soon as they start are a herd there.
	startHold = 250 * time.Millisecond
	// firstCopyWait is how long an entry of a large fleet waits for the first copy of the entry
	// that it follows, when both have just started. After that it reads the store.
	firstCopyWait = time.Second
)

// undecided is the source of an entry that does not know yet whom to follow. Its calls end when
// that is decided.
type undecided struct{}

// Name implements mirror.Source.
func (undecided) Name() string { return "undecided" }

// Range implements mirror.Source.
func (undecided) Range(ctx context.Context, _ string) (mirror.Batch, error) {
	<-ctx.Done()
	return mirror.Batch{}, ctx.Err()
}

// Watch implements mirror.Source.
func (u undecided) Watch(ctx context.Context, prefix string, _ mirror.Revision, _ time.Duration) (mirror.Batch, error) {
	return u.Range(ctx, prefix)
}

// endStartHold ends the start hold if it has lasted startHold, or if enough is known to choose a
// source. The lock must be held.
func (m *Mesh) endStartHold(now time.Time) {
	if !m.startHeld || now.Sub(m.startedAt) < startHold && !m.knowsWhomToFollow(now) {
		return
	}
	m.startHeld, m.holdEndedAt = false, now
	m.signalSourceChanged()
}

// knowsWhomToFollow reports whether this entry knows many others of a large fleet, or is in a small
// one that runs already: it was told the members, and an entry there has a copy.
func (m *Mesh) knowsWhomToFollow(now time.Time) bool {
	if m.large() {
		return len(m.live) >= overlay.CompleteUpTo
	}
	return m.introduced && slices.ContainsFunc(m.members.Reports(now), func(p peer.Presence) bool { return p.Revision > 0 })
}

// firstCopyWaitMs returns for how many milliseconds an entry that this one follows may wait for
// its first copy.
func (m *Mesh) firstCopyWaitMs() int64 {
	if !m.isLarge() {
		return 0
	}
	return firstCopyWait.Milliseconds()
}
