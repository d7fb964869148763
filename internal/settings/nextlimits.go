package settings

import "fmt"

// NextLimits are limits that the key-value store will enforce, without notice, some time after an
// upgrade of the controllers. A limit that is nil will not change.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// minTransactionOps is the lowest accepted limit on the mutations of a transaction. Some
// transactions change two keys: when a job ends, when a controller claims a key, and when machine
// records move from one roster key to another. The limit allows twice as many mutations.
const minTransactionOps = 4

// ApplyNextLimits lowers each limit of the key-value store to its future value if that is lower. The
// future limits take effect without notice, and the store then permanently refuses a value or
// transaction that is too large. The rates are lowered, too, because a transaction that the rate
// limit refuses delays all transactions queued behind it.
func (p *Platform) ApplyNextLimits() error {
	state := &p.Deployment.State
	next := state.Next
	if next == nil {
		return nil
	}
	for _, limit := range []struct {
		name string
		now  *float64
		next *float64
	}{
		{"rps", &state.RPS, next.RPS},
		{"write_rps", &state.WriteRPS, next.WriteRPS},
		{"value_kb", &state.ValueKB, next.ValueKB},
	} {
		if limit.next == nil {
			continue
		}
		if !(*limit.next > 0) {
			return fmt.Errorf("deployment.state.next.%s is %v, must be more than 0", limit.name, *limit.next)
		}
		*limit.now = min(*limit.now, *limit.next)
	}
	if next.TxnOps == nil {
		return nil
	}
	if *next.TxnOps < minTransactionOps {
		return fmt.Errorf("deployment.state.next.txn_ops is %d, must be %d or more", *next.TxnOps, minTransactionOps)
	}
	state.TxnOps = min(state.TxnOps, *next.TxnOps)
	return nil
}
