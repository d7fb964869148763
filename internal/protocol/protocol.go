// Package protocol defines the messages of the outer protocol (PROTOCOL): the CBOR bodies
// that users, agents (its workers), the cloud and the key-value store (its state service)
// exchange with a controller.
//
// Only this package spells the protocol's own words, in struct tags and constants. Its
// identifiers, and the rest of the program, use the usual terms of cluster scheduling. The
// types that the program stores itself, such as Job, are encoded in the same way, so their
// tags are as fixed as the protocol's.
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

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `cbor:"error"`
	// Owner names the controller that is in charge, with status 421.
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

// Encode returns the CBOR form of v. Only the program's own types are encoded, so that a
// failure is a programming error: it panics.
func Encode(v any) []byte {
	encoded, err := encodeMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Decode parses CBOR into v.
func Decode(encoded []byte, v any) error { return decodeMode.Unmarshal(encoded, v) }

// IsMap reports whether a CBOR value is a map. The decoder would fill a struct from null,
// too.
func IsMap(encoded []byte) bool {
	const majorTypeMap = 5
	return len(encoded) > 0 && encoded[0]>>5 == majorTypeMap
}
