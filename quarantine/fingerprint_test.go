package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintIdentifiesContent(t *testing.T) {
	h := NewHasher("")
	base := Content{Caller: "blue", Method: "POST", Host: "h.example", URI: "/a/b?c=1", Body: []byte("body")}
	assert.Equal(t, h.Fingerprint(base), h.Fingerprint(base))
	for name, change := range map[string]func(*Content){
		"caller":                            func(c *Content) { c.Caller = "green" },
		"method":                            func(c *Content) { c.Method = "PUT" },
		"host":                              func(c *Content) { c.Host = "i.example" },
		"query":                             func(c *Content) { c.URI = "/a/b?c=2" },
		"body":                              func(c *Content) { c.Body = []byte("bodz") },
		"no body":                           func(c *Content) { c.Body = nil },
		"bytes moved from method to caller": func(c *Content) { c.Caller, c.Method = "blueP", "OST" },
		"bytes moved from body to path":     func(c *Content) { c.URI, c.Body = "/a/b?c=1b", []byte("ody") },
	} {
		other := base
		change(&other)
		assert.Assert(t, h.Fingerprint(other) != h.Fingerprint(base), name)
		same := h.Fingerprint(other).Caller() == h.Fingerprint(base).Caller()
		assert.Equal(t, same, other.Caller == base.Caller, name)
	}
}

func TestFingerprintDependsOnKey(t *testing.T) {
	c := Content{Caller: "blue", Body: []byte("body")}
	assert.Assert(t, NewHasher("one").Fingerprint(c) != NewHasher("two").Fingerprint(c))
	assert.Assert(t, NewHasher("one").Fingerprint(c) != NewHasher("").Fingerprint(c))
}
