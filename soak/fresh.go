package soak

import (
	"net/http"
	"time"
)

// inForceWithin is the bound of the real programs: how long after the store's
// answer a configuration, or that a target leaves, is in force at each entry that
// is in touch with the store.
const inForceWithin = 2 * time.Second

// outdated reports whether an entry in touch treated a rotating key by a
// configuration that another had replaced longer ago than the bound.
func (f Facts) outdated(a Attempt) bool {
	if !a.StoreReachable || a.Key <= 0 {
		return false
	}
	added, known := f.Configs[a.Key]
	removed, wasRemoved := f.Configs[a.Key+1]
	switch a.Status {
	case http.StatusOK:
		return wasRemoved && a.Sent-removed.Done > inForceWithin
	case http.StatusUnauthorized:
		return known && a.Sent-added.Done > inForceWithin && (!wasRemoved || a.Answered < removed.Began)
	}
	return false
}

// toLeaving reports whether an entry in touch sent a request to a target that had
// been leaving for longer than the bound when the request came.
func (f Facts) toLeaving(a Attempt) bool {
	since, ok := f.leavingSince(a.ID)
	return ok && a.StoreReachable && a.Sent-since > inForceWithin
}
