package idempotency

import (
	"time"

	"github.com/google/uuid"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/outcome"
)

// KeyID is an idempotency key in its scope.
type KeyID struct {
	Service string
	Team    string
	Key     string
}

// Fingerprint identifies the content of a request, so that a key used for another
// request is found out.
type Fingerprint [32]byte

type keyRecord struct {
	print   Fingerprint
	attempt AttemptID
	state   State // Accepted, Finished, Failed, or Fenced
	at      time.Time
}

// HomeKey is the rendezvous key that names the home of an idempotency key.
func HomeKey(k KeyID) string { return k.Service + "\x00" + k.Team + "\x00" + k.Key }

// Home returns the host that keeps the record of k among the hosts that the
// fleet file in force gives the service.
func Home(k KeyID, hosts []string) string { return membership.First(HomeKey(k), hosts) }

// IssuedAt returns when a key was made, if it is a UUID of version 7, which
// carries its time (RFC 9562).
func IssuedAt(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}

// KeyVerdict says what to do with a keyed request.
type KeyVerdict uint8

// Verdicts on a keyed request.
const (
	KeyRun    KeyVerdict = iota + 1 // it is new: run it
	KeyFenceHomes                          // ask the earlier homes, then decide
	KeyReplay                       // send the held answer of the attempt
	KeyRefuse                       // refuse with the reason
)

// KeyDecision is a verdict with its details.
type KeyDecision struct {
	Verdict KeyVerdict
	Reason  outcome.Reason
	Replay  AttemptID
	Homes     []string // earlier homes
}

// HomeHistory is what a home knows about the time before it.
type HomeHistory struct {
	// Self is this host.
	Self string
	// KnownSince is the time from which the revisions in force are known to
	// this process, by itself or from peers.
	KnownSince time.Time
	// HeadAge is the age of the newest proof that the revision in force is
	// the published one.
	HeadAge time.Duration
	// CurrentHosts are the service's hosts under the revision in force here.
	CurrentHosts []string
	// EarlierHosts are the service's hosts under each earlier revision in the window.
	EarlierHosts [][]string
}

// issued returns when a key was made, by the table's clock.
func (t *Table) issued(k KeyID) (time.Time, bool) {
	date, ok := IssuedAt(k.Key)
	if !ok {
		return time.Time{}, false
	}
	return t.cfg.AtDate(date), true
}

// BeginKey decides on a keyed request that arrives with a new attempt.
// Nothing is recorded until StartKey.
func (t *Table) BeginKey(now time.Time, k KeyID, p Fingerprint, past HomeHistory) KeyDecision {
	if r := t.keys[k]; r != nil {
		return t.known(r, p)
	}
	issued, ok := t.issued(k)
	if !ok || issued.After(now.Add(t.cfg.ClockSkew)) {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyInvalid}
	}
	if !t.canKnow(now, issued, past) {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTooOld}
	}
	if past.HeadAge > t.cfg.KeyWindow || Home(k, past.CurrentHosts) != past.Self {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyHomeMoved}
	}
	if len(t.keys) >= t.cfg.MaxKeys {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTableFull}
	}
	if ask := earlierHomes(k, past); len(ask) > 0 {
		return KeyDecision{Verdict: KeyFenceHomes, Homes: ask}
	}
	return KeyDecision{Verdict: KeyRun}
}

func (t *Table) known(r *keyRecord, p Fingerprint) KeyDecision {
	if r.state == Fenced {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyHomeMoved}
	}
	if r.print != p {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyMismatch}
	}
	switch r.state {
	case Accepted:
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyRunning}
	case Finished:
		return KeyDecision{Verdict: KeyReplay, Replay: r.attempt}
	}
	return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyAnswerGone}
}

// canKnow reports whether this process would know if the key had run before.
// It must be older than the key and its records must reach back to the key.
// It must also know all homes that the key can have had: an earlier home may
// have run it while its proof of the revision was up to a window old, so the
// revisions must be known from a window before the key.
func (t *Table) canKnow(now, issued time.Time, past HomeHistory) bool {
	issued = issued.Add(-t.cfg.ClockSkew)
	return !issued.Before(t.start) && !issued.Before(now.Add(-t.cfg.KeyWindow)) &&
		!past.KnownSince.After(issued.Add(-t.cfg.KeyWindow))
}

func earlierHomes(k KeyID, past HomeHistory) []string {
	var out []string
	seen := map[string]bool{past.Self: true}
	for _, hosts := range past.EarlierHosts {
		if h := Home(k, hosts); h != "" && !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	return out
}

// StartKey records that the attempt runs for the key. It reports false if a
// record has appeared since BeginKey; the caller then decides again.
func (t *Table) StartKey(now time.Time, k KeyID, p Fingerprint, id AttemptID) bool {
	if t.keys[k] != nil {
		return false
	}
	t.addKey(k, &keyRecord{print: p, attempt: id, state: Accepted, at: now})
	if a := t.attempts[id]; a != nil {
		a.key = k
	}
	return true
}

func (t *Table) addKey(k KeyID, r *keyRecord) {
	t.keys[k] = r
	t.keyOrder = append(t.keyOrder, k)
}

// endKey follows the attempt that runs for a key. An attempt that was refused
// never ran, so the key is free again.
func (t *Table) endKey(id AttemptID, k KeyID, s State) {
	r := t.keys[k]
	if r == nil || r.attempt != id {
		return
	}
	if s == Refused {
		delete(t.keys, k)
		return
	}
	r.state = s
}

// FenceKey is asked by a later home. It reports whether the key ran or runs
// here; if not, it can no longer start here.
func (t *Table) FenceKey(now time.Time, k KeyID) (known bool) {
	if r := t.keys[k]; r != nil {
		return r.state != Fenced
	}
	issued, ok := t.issued(k)
	if !ok || issued.Add(-t.cfg.ClockSkew).Before(t.start) {
		return true // an earlier incarnation may have run it
	}
	t.addKey(k, &keyRecord{state: Fenced, at: now})
	return false
}

// expireKeys forgets the oldest keys. A key that still runs is kept.
func (t *Table) expireKeys(now time.Time) {
	kept := t.keyOrder[:0]
	for i, k := range t.keyOrder {
		r := t.keys[k]
		switch {
		case r == nil:
			continue
		case now.Sub(r.at) <= t.cfg.KeyWindow+2*t.cfg.ClockSkew:
			t.keyOrder = append(kept, t.keyOrder[i:]...)
			return
		case r.state == Accepted:
			kept = append(kept, k)
		default:
			delete(t.keys, k)
		}
	}
	t.keyOrder = kept
}
