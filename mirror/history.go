package mirror

import (
	"encoding/binary"
	"slices"
)

// Bounds of the history of changes that a table keeps for peers that follow it. A
// follower that is further behind reads the full copy, about 1 MB at 3,000 targets. When
// many targets register at once, a few hundred changes come between two watches, and all
// followers would read the full copy if the history were shorter than that. A change of a
// target has a few hundred bytes, one of a configuration tens of thousands.
const (
	maxHistoryLength = 4096
	maxHistoryBytes  = 1 << 20
)

// history holds the changes of a copy for peers that follow it. It may have gaps: where the copy
// was replaced by a whole one, it has the differences between the two in place of the changes. A
// follower from before the gap needs no more than these. A follower whose revision is within the
// gap may have a key that was created and deleted there, which the differences do not show; it gets
// all of them from the gap's start on, and drops what it has from there and they don't mention.
type history struct {
	events []Event  // in order of recording; gaps are marked by gapMarker
	size   int      // in bytes
	start  Revision // the history is complete after this revision
}

// record adds a change, even if the copy already reflects it. When changes that the copy already
// reflected were left out, half of 14 entries kept a permanently outdated state of three targets
// after one full read.
func (h *history) record(e Event) {
	h.events = append(h.events, e)
	h.size += e.size()
	h.trim()
}

// reset drops all changes up to a revision.
func (h *history) reset(revision Revision) { *h = history{start: revision} }

// since returns the changes after a revision or, if that is within a gap, after the gap's start (see
// Table.Apply); ok is false if the history does not have all of them.
func (h *history) since(after Revision) (events []Event, ok bool) {
	after, ok = beforeGaps(h.events, after)
	if !ok {
		return nil, false
	}
	if after < h.start {
		return nil, false
	}
	for _, e := range h.events {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events, true
}

// eventOverhead is the memory of an event without its key and value, in bytes.
const eventOverhead = 64

func (e Event) size() int { return len(e.Key) + len(e.Value) + eventOverhead }

// trim drops the oldest half of the history when it exceeds its bounds. Dropping half at
// once avoids a copy of the history at each change.
func (h *history) trim() {
	if len(h.events) < 2 || len(h.events) <= maxHistoryLength && h.size <= maxHistoryBytes {
		return
	}
	dropped, kept := h.events[:len(h.events)/2], h.events[len(h.events)/2:]
	h.start = max(h.start, dropped[len(dropped)-1].Revision)
	h.events = append([]Event(nil), kept...)
	h.size = 0
	for _, e := range h.events {
		h.size += e.size()
	}
}

// gapMarker returns the event that marks a gap of the history after one revision up to another. It
// is the removal of the empty key, which the store never has.
func gapMarker(after, until Revision) Event {
	return Event{Deleted: true, Item: Item{Value: binary.BigEndian.AppendUint64(nil, uint64(after)), Revision: until}}
}

// gap returns the revision after which the gap begins that an event marks; ok is false for other
// events. The gap ends at the event's revision.
func (e Event) gap() (after Revision, ok bool) {
	if e.Key != "" || !e.Deleted || len(e.Value) != 8 {
		return 0, false
	}
	return Revision(binary.BigEndian.Uint64(e.Value)), true
}

// HasGap reports whether the batch has differences in place of the changes after some revision.
func (b Batch) HasGap() bool {
	return slices.ContainsFunc(b.Events, func(e Event) bool {
		_, ok := e.gap()
		return ok
	})
}

// beforeGaps returns the last revision up to the given one that is within no gap of the events; ok
// is false if it is within a gap across which the store was restored, whose differences do not
// mention what other copies had of the store before. Gaps are in the order of their ends, so one
// pass from the last one is enough.
func beforeGaps(events []Event, revision Revision) (before Revision, ok bool) {
	for _, e := range slices.Backward(events) {
		after, isGap := e.gap()
		if !isGap || revision <= after || e.Revision <= revision {
			continue
		}
		if after.Era() != e.Revision.Era() {
			return 0, false
		}
		revision = after
	}
	return revision, true
}
