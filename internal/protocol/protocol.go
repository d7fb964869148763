// Package protocol defines the messages of the external protocol (PROTOCOL): the CBOR bodies that a
// controller exchanges with users, agents (`worker` in PROTOCOL), the cloud and the key-value store
// (`state service`).
//
// The protocol's own names appear only in this package, in struct tags and constants. Identifiers
// here and in the rest of the program use the usual terms of cluster scheduling. The tags must not
// change, because they are the names on the wire. The same holds for the tags of types that the
// program writes to the key-value store, such as Job.
package protocol

import (
	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the size limit of a request body, and of responses to agents and users.
const MaxBodyBytes = 64 << 10

// Limits on the CBOR that is decoded.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 17
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `cbor:"error"`
	// Owner is set in responses with status 421. It names the controller to which the request
	// should be sent instead.
	Owner string `cbor:"foreman,omitempty"`
}

var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

func mustEncodeMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of v. Only the program's own types are encoded, so a failure is
// a programming error, and Encode panics.
func Encode(v any) []byte {
	encoded, err := encodeMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode parses CBOR into v.
func Decode(encoded []byte, v any) error { return decodeMode.Unmarshal(encoded, v) }

// IsMap reports whether a CBOR value is a map. Decode into a struct does not ensure this, because it
// also accepts null.
func IsMap(encoded []byte) bool {
	const majorTypeMap = 5
	return len(encoded) > 0 && encoded[0]>>5 == majorTypeMap
}
