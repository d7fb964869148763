package election

import (
	"strconv"
	"strings"

	"curlewspool/internal/protocol"
)

// FencingTokenStep is the difference between two consecutively drawn tokens. The values in between
// are used to raise the token of a single machine. A machine's token is raised when direct commands
// to the machine got no answer (see agent.Machine.CommandsLost), when an ended attempt that was
// launched by a direct command is acknowledged (see agent.Machine.NextCommands), and when the machine
// has restarted (see agent.Machine.ResetIncarnation).
const FencingTokenStep = 1 << 20

const (
	// ownershipPrefix is the prefix of all ownership keys.
	ownershipPrefix = "a/o/"
	// LeaderKey is the ownership key of the leader role.
	LeaderKey = ownershipPrefix + "lead"
	// tokenCounterKey is the key of the counter that fencing tokens are drawn from.
	tokenCounterKey = "a/c/token"
)

// ShardKey returns the ownership key of a shard.
func ShardKey(shardID int) string { return ownershipPrefix + strconv.Itoa(shardID) }

// IsOwnershipKey reports whether a key is an ownership key, of a shard or of the leader role.
func IsOwnershipKey(key string) bool { return strings.HasPrefix(key, ownershipPrefix) }

// ParseShardKey returns the shard that an ownership key belongs to. ok is false if the key is not
// the ownership key of a shard.
func ParseShardKey(key string) (shardID int, ok bool) {
	name, isOwnership := strings.CutPrefix(key, ownershipPrefix)
	shardID, err := strconv.Atoi(name)
	return shardID, isOwnership && err == nil
}

// OwnerRecord is the stored value of an ownership key.
type OwnerRecord struct {
	Nonce        string `cbor:"w"` // nonce of the transaction that wrote the record
	Owner        string `cbor:"h"` // name of the owning controller
	FencingToken uint64 `cbor:"t"`
	// PreviousOwnerActiveUntil is the time of day, in seconds, up to which an owner from which the
	// key was taken may go on answering agents; 0 if there is no such owner. The time is kept when
	// the key is taken again, because a new owner that restarts has no other record of the time.
	// When the time was not kept, 121 tasks ran twice in an evaluated run.
	PreviousOwnerActiveUntil float64 `cbor:"u,omitempty"`
	// TakenByForce means that the key was taken from an owner that may still be running. Only the
	// key-value store knows when the claim was applied, as a claim may be sent again after a lost
	// answer or executed late. A controller therefore counts the previous owner's remaining time
	// from when the controller reads this record.
	TakenByForce bool `cbor:"f,omitempty"`
}

// tokenCounter is the stored value of tokenCounterKey.
type tokenCounter struct {
	Nonce  string `cbor:"w"` // nonce of the transaction that wrote the counter
	Issued uint64 `cbor:"n"` // number of tokens drawn so far
}

// readTokenCounter reads the counter from the cache. Before the first token is drawn, the counter
// is zero and isStored is false.
func (r *Registry) readTokenCounter() (counter tokenCounter, isStored bool, err error) {
	entry, isStored := r.store.Get(tokenCounterKey)
	if !isStored {
		return tokenCounter{}, false, nil
	}
	err = protocol.Decode(entry.Value, &counter)
	return counter, true, err
}
