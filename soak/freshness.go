package soak

import (
	"net/http"
	"time"
)

// propagationBound is the time after the store's response to a write within which the
// written configuration, or the marking of a target as leaving, must take effect at each
// entry that can reach the store.
const propagationBound = 2 * time.Second

// usedStaleConfig reports whether an entry that could reach the store accepted or denied a
// rotating key according to a configuration that had been replaced more than
// propagationBound before.
func (f Facts) usedStaleConfig(a Attempt) bool {
	if !a.StoreReachable || a.Key <= 0 {
		return false
	}
	added, known := f.Configs[a.Key]
	removed, wasRemoved := f.Configs[a.Key+1]
	switch a.Status {
	case http.StatusOK:
		return wasRemoved && a.Sent-removed.Done > propagationBound
	case http.StatusUnauthorized:
		return known && a.Sent-added.Done > propagationBound && (!wasRemoved || a.Answered < removed.Began)
	}
	return false
}

// sentToLeaving reports whether an entry that could reach the store sent a request to a
// target that had been marked as leaving, or removed from the store, more than
// propagationBound before the request was sent.
func (f Facts) sentToLeaving(a Attempt) bool {
	since, ok := f.leavingSince(a.ID)
	return ok && a.StoreReachable && a.Sent-since > propagationBound
}
