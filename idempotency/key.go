package idempotency

import (
	"time"

	"github.com/google/uuid"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/outcome"
)

// KeyID is an idempotency key with its scope: keys of different services or teams
// are distinct.
type KeyID struct {
	Service string
	Team    string
	Key     string
}

// Fingerprint identifies the content of a request, so that reuse of a key for
// another request is detected.
type Fingerprint [32]byte

type keyRecord struct {
	fingerprint Fingerprint
	attempt     AttemptID
	state       State // Accepted, Finished or Failed as its attempt; Fenced if it cannot run here
	at          time.Time
}

// HomeKey returns the key for rendezvous hashing that determines the home of k.
func HomeKey(k KeyID) string { return k.Service + "\x00" + k.Team + "\x00" + k.Key }

// Home returns the home of k: the host that keeps its record, chosen by rendezvous
// hashing among hosts, the hosts of the service under a revision of the fleet file.
func Home(k KeyID, hosts []string) string { return membership.First(HomeKey(k), hosts) }

// IssuedAt returns when a key was generated, if it is a UUID of version 7, which
// contains a timestamp (RFC 9562).
func IssuedAt(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}

// KeyVerdict is what to do with a request that has a key.
type KeyVerdict uint8

// Verdicts on a request with a key.
const (
	KeyRun        KeyVerdict = iota + 1 // the key is new: run the request
	KeyFenceHomes                       // fence the key at its earlier homes first
	KeyReplay                           // send the retained answer of the attempt with ID Replay
	KeyRefuse                           // refuse the request with Reason
)

// KeyDecision is a verdict with its details.
type KeyDecision struct {
	Verdict KeyVerdict
	Reason  outcome.Reason
	Replay  AttemptID
	Homes   []string // earlier homes of the key
}

// HomeHistory is what a host knows of the hosts that may be or have been homes of a
// service's keys.
type HomeHistory struct {
	// Self is the name of this host.
	Self string
	// KnownSince is the time from which this process knows all revisions that
	// were in force, either itself or from peers.
	KnownSince time.Time
	// HeadAge is the age of the last confirmation that the revision in force is
	// the newest published one.
	HeadAge time.Duration
	// CurrentHosts are the service's hosts under the revision in force here.
	CurrentHosts []string
	// EarlierHosts are the service's hosts under each earlier revision in the window.
	EarlierHosts [][]string
}

// issued returns when a key was generated, as a time of the table's clock.
func (t *Table) issued(k KeyID) (time.Time, bool) {
	date, ok := IssuedAt(k.Key)
	if !ok {
		return time.Time{}, false
	}
	return t.cfg.FromWallTime(date), true
}

// BeginKey decides on a request with a key that arrives with a new attempt. It
// records nothing; StartKey does.
func (t *Table) BeginKey(now time.Time, k KeyID, p Fingerprint, history HomeHistory) KeyDecision {
	if r := t.keys[k]; r != nil {
		return t.decideRecorded(r, p)
	}
	issued, ok := t.issued(k)
	if !ok || issued.After(now.Add(t.cfg.ClockSkew)) {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyInvalid}
	}
	if !t.recordsCover(now, issued, history) {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTooOld}
	}
	if history.HeadAge > t.cfg.KeyWindow || Home(k, history.CurrentHosts) != history.Self {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyHomeMoved}
	}
	if len(t.keys) >= t.cfg.MaxKeys {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyTableFull}
	}
	if homes := earlierHomes(k, history); len(homes) > 0 {
		return KeyDecision{Verdict: KeyFenceHomes, Homes: homes}
	}
	return KeyDecision{Verdict: KeyRun}
}

func (t *Table) decideRecorded(r *keyRecord, p Fingerprint) KeyDecision {
	if r.state == Fenced {
		return KeyDecision{Verdict: KeyRefuse, Reason: outcome.KeyHomeMoved}
	}
	if r.fingerprint != p {
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

// recordsCover reports whether this process can determine if the key has run
// before. The process must have started before the key was generated, and the key
// must not be older than the window for which keys are kept on record. The process
// must also know all homes that the key can have had: a host may have run the key
// under an already replaced revision, if it had confirmed that revision at most
// a window before. The revisions must therefore be known from a window before the
// key was generated.
func (t *Table) recordsCover(now, issued time.Time, history HomeHistory) bool {
	issued = issued.Add(-t.cfg.ClockSkew)
	return !issued.Before(t.start) && !issued.Before(now.Add(-t.cfg.KeyWindow)) &&
		!history.KnownSince.After(issued.Add(-t.cfg.KeyWindow))
}

func earlierHomes(k KeyID, history HomeHistory) []string {
	var out []string
	seen := map[string]bool{history.Self: true}
	for _, hosts := range history.EarlierHosts {
		if h := Home(k, hosts); h != "" && !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	return out
}

// StartKey records that the attempt was accepted for the key. It returns false if a
// record of the key was added since BeginKey; the caller must then call BeginKey again.
func (t *Table) StartKey(now time.Time, k KeyID, p Fingerprint, id AttemptID) bool {
	if t.keys[k] != nil {
		return false
	}
	t.addKey(k, &keyRecord{fingerprint: p, attempt: id, state: Accepted, at: now})
	if a := t.attempts[id]; a != nil {
		a.key = k
	}
	return true
}

func (t *Table) addKey(k KeyID, r *keyRecord) {
	t.keys[k] = r
	t.keyOrder = append(t.keyOrder, k)
}

// endKey updates the key's record when its attempt ends in state s. An attempt that
// was refused never ran, so its key may be used again.
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

// FenceKey is called on behalf of a later home of the key. It reports whether the
// key may have run here or is running; if not, the key can no longer start here.
func (t *Table) FenceKey(now time.Time, k KeyID) (known bool) {
	if r := t.keys[k]; r != nil {
		return r.state != Fenced
	}
	issued, ok := t.issued(k)
	if !ok || issued.Add(-t.cfg.ClockSkew).Before(t.start) {
		return true // an earlier incarnation may have run the key
	}
	t.addKey(k, &keyRecord{state: Fenced, at: now})
	return false
}

// expireKeys removes the key records that are older than the window, except those
// whose attempt is still queued or running.
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
