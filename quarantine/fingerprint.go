package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Sizes of a fingerprint in bytes.
const (
	callerBytes  = 4
	contentBytes = 12
)

// Fingerprint identifies a request by its content, whichever attempt carries it, or a part of
// prompts, whichever request has it. That of a content begins with a hash of the caller, so that
// the records of one caller can be limited. It is a keyed hash, so it can be logged and sent to other
// processes without revealing the body or the API key.
type Fingerprint [callerBytes + contentBytes]byte

// Caller is the part of a fingerprint that identifies the caller.
type Caller [callerBytes]byte

// String returns the hash in hexadecimal.
func (c Caller) String() string { return hex.EncodeToString(c[:]) }

// Caller returns the part that identifies the caller.
func (f Fingerprint) Caller() Caller { return Caller(f[:callerBytes]) }

// partMarker takes the place of the caller in the fingerprint of a part of prompts, which may occur
// in the requests of several callers.
var partMarker = Caller{'p', 'a', 'r', 't'}

// furtherMarker is partMarker for the further parts of a caller's prompts together.
var furtherMarker = Caller{'m', 'o', 'r', 'e'}

// IsPart reports whether the fingerprint identifies a part of prompts, or further parts together, not the
// content of a request.
func (f Fingerprint) IsPart() bool { return f.Caller() == partMarker || f.isFurther() }

// isFurther reports whether the fingerprint stands for several parts, so that a request with it that
// succeeds says little about the others.
func (f Fingerprint) isFurther() bool { return f.Caller() == furtherMarker }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Content holds the fields that identify a request. Fields that differ between its
// attempts are excluded: the attempt ID, the remaining time, and the event after which a
// stream resumes.
type Content struct {
	Caller string // name of the team, or the API key where there are no teams
	Method string
	Host   string
	URI    string // path and query as received
	Body   []byte
}

// Hasher computes fingerprints. All processes of a fleet must use the same key.
type Hasher struct{ key []byte }

// defaultKey is public: it only separates these hashes from other hashes of the same bytes.
// A secret key also prevents anyone who knows a fingerprint from finding the content by
// brute force.
const defaultKey = "springgate request content"

// NewHasher returns a hasher with the given secret key. An empty key selects a public one.
func NewHasher(key string) Hasher {
	if key == "" {
		key = defaultKey
	}
	return Hasher{[]byte(key)}
}

// Fingerprint returns the fingerprint of c.
func (h Hasher) Fingerprint(c Content) (f Fingerprint) {
	caller := hmac.New(sha256.New, h.key)
	writeField(caller, c.Caller)
	content := hmac.New(sha256.New, h.key)
	for _, field := range []string{c.Caller, c.Method, c.Host, c.URI} {
		writeField(content, field)
	}
	// Write on a hash never returns an error.
	_, _ = content.Write(c.Body)
	copy(f[:callerBytes], caller.Sum(nil))
	copy(f[callerBytes:], content.Sum(nil))
	return f
}

// Part returns the fingerprint of a part of prompts with the given ID at a service.
func (h Hasher) Part(service, id string) (f Fingerprint) {
	part := hmac.New(sha256.New, h.key)
	writeField(part, service)
	writeField(part, id)
	copy(f[:callerBytes], partMarker[:])
	copy(f[callerBytes:], part.Sum(nil))
	return f
}

// FurtherParts returns the fingerprint that stands for all parts of a caller's prompts at a service beyond
// those that are listed one by one. It is treated as a part.
func (h Hasher) FurtherParts(service, caller string) (f Fingerprint) {
	further := hmac.New(sha256.New, h.key)
	for _, field := range []string{service, caller, "further parts"} {
		writeField(further, field)
	}
	copy(f[:callerBytes], furtherMarker[:])
	copy(f[callerBytes:], further.Sum(nil))
	return f
}

// writeField writes a length-prefixed field, so that different lists of fields never
// produce the same bytes.
func writeField(h hash.Hash, s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = h.Write(size[:])
	_, _ = io.WriteString(h, s)
}
