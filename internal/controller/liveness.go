package controller

import (
	"time"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// livenessPublisher tracks the writes of this controller's liveness key.
type livenessPublisher struct {
	isWritePending bool
	writtenAt      time.Duration
}

// livenessRecord is the value of a liveness key. The nonce identifies the write.
type livenessRecord struct {
	Nonce string `cbor:"w"`
}

func livenessKey(name string) string { return livenessKeyPrefix + name }

// publishLiveness renews this controller's liveness key in the store while the messages of some
// member do not arrive. The key shows the other controllers that this one still works, so that they
// do not take over its shards. During a network partition between zones, controllers in other zones
// do not reach the machines in this controller's zone, so the leases of these machines would expire
// after a takeover.
func (c *Controller) publishLiveness(now time.Duration) {
	if c.members.areAllAlive() || !c.isReady() || c.liveness.isWritePending || now-c.liveness.writtenAt < c.machineLease()/12 {
		return
	}
	c.liveness = livenessPublisher{isWritePending: true, writtenAt: now}
	key := livenessKey(c.settings.Name)
	c.store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			conditions := []protocol.Condition{c.store.UnchangedCondition(key)}
			put := protocol.Mutation{
				Put:   key,
				Value: protocol.Encode(&livenessRecord{Nonce: nonce}),
				Lease: c.store.Lease.ID,
			}
			return conditions, []protocol.Mutation{put}
		},
		Done: func(bool, uint64) { c.liveness.isWritePending = false },
	})
}
