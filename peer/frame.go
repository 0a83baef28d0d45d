// Package peer implements the protocol between the processes of the system, the entries, which
// accept callers' requests, and the agents, which run beside the targets: frames over TCP with
// msgpack payloads, a handshake, and multiplexed streams with per-stream flow control.
//
// The messages in control.go and request.go, except Hello and Blob, are those of `springgate
// serve`; the messages in the other files are those of `springgate gateway`.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Frame layout: length of the rest of the frame (4 bytes), kind (1 byte), flags
// (1 byte), stream ID (8 bytes), payload.
const (
	lengthSize = 4
	headSize   = 10
	// MaxFrame bounds the payload of one frame in bytes. It fits a weight
	// chunk of 8 MiB and the fields around it.
	MaxFrame = 8<<20 + 4096
	// maxHello bounds the payload of the first frame, whose sender may be no process of the system.
	maxHello = 4 << 10
)

type flags uint8

const (
	flagOpen flags = 1 << iota // first frame of a stream
	flagFin                    // last frame in this direction
)

// frame is one decoded frame; the payload is still encoded.
type frame struct {
	kind    Kind
	flags   flags
	stream  uint64
	payload []byte
}

// Frame errors.
var (
	ErrFrameSize = errors.New("peer: frame length out of range")
	ErrKind      = errors.New("peer: unknown message kind")
	ErrPayload   = errors.New("peer: payload cannot be decoded")
)

// encodeFrame returns the wire form of a message.
func encodeFrame(stream uint64, fl flags, m Message) ([]byte, error) {
	var payload bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&payload)
	// Structs are encoded as arrays, without field names: status messages are
	// frequent and small.
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(m); err != nil {
		return nil, errors.Wrap(err, "peer: encode")
	}
	if err := encodeExtension(enc, m); err != nil {
		return nil, errors.Wrap(err, "peer: encode")
	}
	return rawFrame(stream, fl, m.Kind(), payload.Bytes())
}

func rawFrame(stream uint64, fl flags, k Kind, payload []byte) ([]byte, error) {
	if len(payload) > MaxFrame {
		return nil, ErrFrameSize
	}
	b := make([]byte, lengthSize+headSize+len(payload))
	binary.BigEndian.PutUint32(b, uint32(headSize+len(payload)))
	b[4] = byte(k)
	b[5] = byte(fl)
	binary.BigEndian.PutUint64(b[6:], stream)
	copy(b[lengthSize+headSize:], payload)
	return b, nil
}

// readFrame reads one frame.
func readFrame(r io.Reader) (frame, error) { return readFrameWithin(r, MaxFrame) }

// readFrameWithin reads one frame with a payload of at most limit bytes.
func readFrameWithin(r io.Reader, limit uint32) (frame, error) {
	var head [lengthSize + headSize]byte
	if _, err := io.ReadFull(r, head[:lengthSize]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < headSize || n > headSize+limit {
		return frame{}, ErrFrameSize
	}
	if _, err := io.ReadFull(r, head[lengthSize:]); err != nil {
		return frame{}, err
	}
	f := frame{kind: Kind(head[4]), flags: flags(head[5]), stream: binary.BigEndian.Uint64(head[6:])}
	f.payload = make([]byte, n-headSize)
	_, err := io.ReadFull(r, f.payload)
	return f, err
}

// decode returns the typed message of a frame.
func (f frame) decode() (Message, error) {
	m := newMessage(f.kind)
	if m == nil {
		return nil, ErrKind
	}
	if err := checkPayload(f.payload); err != nil {
		return nil, err
	}
	payload := bytes.NewReader(f.payload)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(payload)
	if err := dec.Decode(m); err != nil {
		return nil, errors.Wrap(ErrPayload, err.Error())
	}
	if err := decodeExtension(dec, payload, m); err != nil {
		return nil, errors.Wrap(ErrPayload, err.Error())
	}
	return m, nil
}
