package peer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// extended is a message with fields that earlier releases do not know. The decoder rejects a
// message whose number of fields differs from its own, but skips what follows the message. Added
// fields are therefore in a struct of their own, which is excluded from the message's encoding and
// follows it with the names of its fields. A receiver skips names that it does not know.
type extended interface {
	Message
	// extension returns a pointer to the added fields.
	extension() any
	// hasExtension reports whether any of them is set; otherwise nothing is sent.
	hasExtension() bool
}

func encodeExtension(enc *msgpack.Encoder, m Message) error {
	x, ok := m.(extended)
	if !ok || !x.hasExtension() {
		return nil
	}
	enc.UseArrayEncodedStructs(false)
	return enc.Encode(x.extension())
}

// decodeExtension decodes what is left of a payload.
func decodeExtension(dec *msgpack.Decoder, payload *bytes.Reader, m Message) error {
	x, ok := m.(extended)
	if !ok || payload.Len() == 0 {
		return nil
	}
	return dec.Decode(x.extension())
}
