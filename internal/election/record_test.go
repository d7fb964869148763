package election

import "testing"

// TestOwnershipKeys: a shard's key names the shard; the leader's names none.
func TestOwnershipKeys(t *testing.T) {
	for _, test := range []struct {
		key         string
		isOwnership bool
		shardID     int
		isShard     bool
	}{
		{ShardKey(0), true, 0, true},
		{ShardKey(12), true, 12, true},
		{LeaderKey, true, 0, false},
		{tokenCounterKey, false, 0, false},
		{"12", false, 0, false},
	} {
		t.Run(test.key, func(t *testing.T) {
			if got := IsOwnershipKey(test.key); got != test.isOwnership {
				t.Errorf("is a key of ownership: %v, want %v", got, test.isOwnership)
			}
			shardID, isShard := ParseShardKey(test.key)
			if isShard != test.isShard || isShard && shardID != test.shardID {
				t.Errorf("shard %d, %v, want %d, %v", shardID, isShard, test.shardID, test.isShard)
			}
		})
	}
}
