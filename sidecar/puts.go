package sidecar

import (
	"sync"
	"time"
)

// putLog records the pieces that were put on the engine.
type putLog struct {
	mu       sync.Mutex
	lastSent time.Time
	// until has, for each index whose put was not answered, the time until which the put may
	// still arrive and overwrite a newer piece.
	until map[int]time.Time
	all   time.Time // until when puts of a previous agent, of any index, may still arrive
}

func (l *putLog) recordSent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSent = now
}

func (l *putLog) sentSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSent.After(t)
}

// recordUnanswered records that the put of a piece was not answered.
func (l *putLog) recordUnanswered(index int, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[int]time.Time{}
	}
	l.until[index] = until
}

// mayArrive reports whether an unanswered put of a piece may still arrive.
func (l *putLog) mayArrive(index int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.all) || now.Before(l.until[index])
}

// unconfirmed returns the number of pieces, out of n, whose put may still arrive.
func (l *putLog) unconfirmed(n int, now time.Time) int {
	open := 0
	for i := range n {
		if l.mayArrive(i, now) {
			open++
		}
	}
	return open
}
