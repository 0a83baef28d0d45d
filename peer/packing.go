package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxUnpacked bounds the size in bytes of unpacked events: a copy of the store has some MB.
const maxUnpacked = 64 << 20

// PackEvents returns the compressed form of events.
func PackEvents(events []MirrorEvent) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "peer: pack events")
	}
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(w)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(events); err != nil {
		return nil, errors.Wrap(err, "peer: pack events")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "peer: pack events")
	}
	return out.Bytes(), nil
}

// UnpackEvents is the inverse of PackEvents. It returns ErrPayload for data that cannot be
// decoded or is too large.
func UnpackEvents(b []byte) ([]MirrorEvent, error) {
	r := flate.NewReader(bytes.NewReader(b))
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(ErrPayload, err.Error())
	}
	if len(data) > maxUnpacked {
		return nil, errors.Wrap(ErrPayload, "events exceed the size limit")
	}
	if err := checkStructure(data); err != nil {
		return nil, err
	}
	var events []MirrorEvent
	if err := msgpack.Unmarshal(data, &events); err != nil {
		return nil, errors.Wrap(ErrPayload, err.Error())
	}
	return events, nil
}
