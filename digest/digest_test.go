package digest

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The expected value is the published BLAKE3 test vector for the empty string.
func TestKnownValue(t *testing.T) {
	assert.Equal(t, Of(nil).String(), Prefix+"af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262")
}

func TestTextForm(t *testing.T) {
	d := Of([]byte("x"))
	got, err := Parse(d.String())
	assert.NilError(t, err)
	assert.Equal(t, got, d)
	for _, bad := range []string{"", "blake3:", "md5:00", "blake3:" + strings.Repeat("g", 64), d.String() + "0"} {
		_, err := Parse(bad)
		assert.Assert(t, err != nil, bad)
	}
	assert.Assert(t, Digest{}.IsZero())
}

// BenchmarkDigest compares BLAKE3 with SHA-256.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{256 << 10, 1 << 20, 8 << 20} {
		data := make([]byte, size)
		b.Run(fmt.Sprintf("sha256/%d", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				sha256.Sum256(data)
			}
		})
		b.Run(fmt.Sprintf("blake3/%d", size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				Of(data)
			}
		})
	}
}
