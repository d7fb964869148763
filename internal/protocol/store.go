package protocol

import "github.com/fxamacker/cbor/v2"

// Entry is a key of the key-value store with its value.
type Entry struct {
	Key           string          `cbor:"k"`
	Value         cbor.RawMessage `cbor:"value"`
	Revision      uint64          `cbor:"stamp"`  // revision of the key's latest change
	Lease         uint64          `cbor:"permit"` // ID of the store lease that the key is attached to; 0: none
	StoreRevision uint64          `cbor:"ledger"` // set only in the response for a key that does not exist
}

// EntryList is the response to GET /store?under=.
type EntryList struct {
	Entries       []Entry `cbor:"entries"`
	Truncated     bool    `cbor:"truncated"` // the list is incomplete
	StoreRevision uint64  `cbor:"ledger"`
}

// Change is one change in the response to GET /changes: the key Put was written, or the key Delete was
// deleted.
type Change struct {
	Put      string          `cbor:"put"`
	Delete   string          `cbor:"delete"`
	Value    cbor.RawMessage `cbor:"value"`
	Revision uint64          `cbor:"stamp"`
}

// ChangeLog is the response to GET /changes.
type ChangeLog struct {
	StoreRevision uint64   `cbor:"ledger"`
	Changes       []Change `cbor:"log"`
}

// Condition is a condition of a transaction: the key has the given revision. Revision 0 means that the
// key does not exist.
type Condition struct {
	Key      string `cbor:"k"`
	Revision uint64 `cbor:"stamp"`
}

// Mutation is one write of a transaction: it puts the key Put, or deletes the key Delete. A non-zero
// Lease attaches the put key to that store lease.
type Mutation struct {
	Put    string          `cbor:"put,omitempty"`
	Delete string          `cbor:"delete,omitempty"`
	Value  cbor.RawMessage `cbor:"value,omitempty"`
	Lease  uint64          `cbor:"permit,omitempty"`
}

// Transaction is the body of POST /multi. The store applies all mutations if all conditions hold,
// or else none.
type Transaction struct {
	Conditions []Condition `cbor:"when"`
	Mutations  []Mutation  `cbor:"apply,omitempty"`
}

// TransactionResult is the response to a Transaction.
type TransactionResult struct {
	StoreRevision uint64   `cbor:"ledger"`
	FailedKeys    []string `cbor:"failed"` // keys whose conditions did not hold
	Error         string   `cbor:"error"`
}

// LeaseRequest is the body of POST /grants, which creates a store lease.
type LeaseRequest struct {
	TTLMillis uint64 `cbor:"lifeMs"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Lease uint64 `cbor:"permit"`
}
