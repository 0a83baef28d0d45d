package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// emptyBatch is the payload of a MirrorBatch without its extension.
const emptyBatch = "\x96\x00\xc0\x00\x00\x00\x00"

func decodeBatch(payload string) error {
	_, err := frame{kind: kindMirrorBatch, payload: []byte(payload)}.decode()
	return err
}

// Guards against a frame of a few bytes that makes its receiver allocate gigabytes.
func TestStatedLengthBeyondThePayloadAllocatesNothing(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := decodeBatch("\x96\x00\xdd\x00\x20\x00\x00") // 2,097,152 events
	runtime.ReadMemStats(&after)
	assert.Assert(t, errors.Is(err, ErrPayload))
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 1<<20, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
}

// Guards against a frame whose nested values exhaust its receiver's stack.
func TestDeeplyNestedUnknownFieldIsRefused(t *testing.T) {
	nested := "\x81\xa1x" + strings.Repeat("\x91", 100_000) + "\xc0"
	assert.ErrorIs(t, decodeBatch(emptyBatch+nested), ErrPayload)
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = w.Write([]byte("\x91" + nested))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = UnpackEvents(packed.Bytes())
	assert.ErrorIs(t, err, ErrPayload)
}

// Guards against elements of one byte each that take many times their size when decoded.
func TestManyElementsAreRefused(t *testing.T) {
	assert.ErrorIs(t, decodeBatch("\x96\x00\xdd\x00\x20\x00\x00"+strings.Repeat("\xc0", 1<<21)+"\x00\x00\x00\x00"), ErrPayload)
}

func TestCheckPayloadAcceptsAllCodes(t *testing.T) {
	ext := func(n int) *msgpack.RawMessage {
		r := msgpack.RawMessage(append([]byte{0xc7, byte(n), 1}, make([]byte, n)...))
		return &r
	}
	for _, v := range []any{nil, true, 1, -1, 200, -100, 1 << 10, -1 << 10, 1 << 20, -1 << 20, 1 << 40, -1 << 40, float32(1), 2.5,
		"", strings.Repeat("s", 40), strings.Repeat("s", 300), strings.Repeat("s", 1<<16), make([]byte, 3), make([]byte, 300), make([]byte, 1<<16),
		[]int{}, make([]int, 20), make([]int, 1<<16), map[string]any{}, map[string]any{"a": []any{map[string]any{"b": 1}, []int{2}}, "c": nil},
		map[int]int{1: 1, 2: 2, 3: 3, 4: 4, 5: 5, 6: 6, 7: 7, 8: 8, 9: 9, 10: 10, 11: 11, 12: 12, 13: 13, 14: 14, 15: 15, 16: 16}, ext(0), ext(9)} {
		b, err := msgpack.Marshal(v)
		assert.NilError(t, err)
		assert.NilError(t, checkPayload(b), "%T", v)
		assert.NilError(t, checkPayload(append(bytes.Clone(b), b...)), "two of %T", v)
		if len(b) > 1 {
			assert.ErrorIs(t, checkPayload(b[:len(b)-1]), ErrPayload, "%T", v)
		}
	}
	assert.ErrorIs(t, checkPayload([]byte{0xc1}), ErrPayload)
}
