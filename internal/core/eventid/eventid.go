// Package eventid encodes the IDs of server-sent events. An ID contains all that an
// entry needs to resume the stream. It is authenticated with the deployment's key
// and bound to the customer and to the digest of the request.
package eventid

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"hash"
	"strings"
)

// Sizes in the encoded form, in bytes. The fixed part is the offset and the
// checksum; maxEncodedBytes applies to the base64 text.
const (
	macBytes        = 16
	maxFieldBytes   = 255
	maxEncodedBytes = 1024
	fixedBytes      = 8 + 8
)

// Errors returned by Decode.
var (
	ErrMalformed = errors.New("event ID is malformed")
	ErrForged    = errors.New("event ID does not belong to this customer and request")
)

// ID is a position in the stream of an answer.
type ID struct {
	Service string
	// Server is the name of the backend server, and Incarnation identifies the
	// start of its process.
	Server      string
	Incarnation string
	// Stream is the backend server's name for the stream.
	Stream string
	// Offset is the offset of the event's token.
	Offset uint64
	// Sum is the running checksum of the stream up to and including the token.
	Sum uint64
}

// Binding is the customer and the request for which an ID is valid.
type Binding struct {
	Customer string
	// Digest is the SHA-256 of the request.
	Digest [sha256.Size]byte
}

// Codec encodes and decodes IDs for one binding. It is not safe for concurrent
// use.
type Codec struct {
	mac     hash.Hash
	binding []byte
	buffer  []byte
}

// NewCodec returns a codec that authenticates IDs with the key.
func NewCodec(key []byte, binding Binding) *Codec {
	bound := appendField(nil, binding.Customer)
	bound = append(bound, binding.Digest[:]...)
	return &Codec{mac: hmac.New(sha256.New, key), binding: bound}
}

// Encode returns the text form of an ID, which can be used in an HTTP header.
func (c *Codec) Encode(id ID) string {
	b := c.buffer[:0]
	b = binary.BigEndian.AppendUint64(b, id.Offset)
	b = binary.BigEndian.AppendUint64(b, id.Sum)
	b = appendField(b, id.Service)
	b = appendField(b, id.Server)
	b = appendField(b, id.Incarnation)
	b = appendField(b, id.Stream)
	b = append(b, c.sum(b)...)
	c.buffer = b
	return base64.RawURLEncoding.EncodeToString(b)
}

// Decode authenticates and decodes the text form of an ID.
func (c *Codec) Decode(text string) (ID, error) {
	if len(text) > maxEncodedBytes {
		return ID{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < fixedBytes+macBytes {
		return ID{}, ErrMalformed
	}
	payload, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hmac.Equal(mac, c.sum(payload)) {
		return ID{}, ErrForged
	}
	return decodePayload(payload)
}

func decodePayload(payload []byte) (ID, error) {
	id := ID{
		Offset: binary.BigEndian.Uint64(payload),
		Sum:    binary.BigEndian.Uint64(payload[8:]),
	}
	rest := payload[fixedBytes:]
	for _, field := range []*string{&id.Service, &id.Server, &id.Incarnation, &id.Stream} {
		value, after, ok := cutField(rest)
		if !ok {
			return ID{}, ErrMalformed
		}
		*field = value
		rest = after
	}
	if len(rest) != 0 {
		return ID{}, ErrMalformed
	}
	return id, nil
}

// sum returns the truncated HMAC of the binding and the payload.
func (c *Codec) sum(payload []byte) []byte {
	c.mac.Reset()
	c.mac.Write(c.binding)
	c.mac.Write(payload)
	return c.mac.Sum(nil)[:macBytes]
}

// appendField appends a length byte and the value. It removes invalid UTF-8 and
// truncates the value to maxFieldBytes.
func appendField(b []byte, value string) []byte {
	value = strings.ToValidUTF8(value, "")
	if len(value) > maxFieldBytes {
		value = value[:maxFieldBytes]
	}
	b = append(b, byte(len(value)))
	return append(b, value...)
}

// cutField splits the first field off b. It returns false if b is too short.
func cutField(b []byte) (value string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	end := 1 + int(b[0])
	return string(b[1:end]), b[end:], true
}
