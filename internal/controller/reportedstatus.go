package controller

import (
	"iter"

	"curlewspool/internal/peermsg"
)

// This file iterates over what controllers report about their shards.

// shardStatuses yields the shard statuses in all statuses, in order.
func shardStatuses(statuses []*peermsg.Status) iter.Seq[*peermsg.ShardStatus] {
	return func(yield func(*peermsg.ShardStatus) bool) {
		for _, status := range statuses {
			for _, reported := range status.Shards {
				if !yield(reported) {
					return
				}
			}
		}
	}
}

// unmetDemands yields the unmet demands in all statuses, in order.
func unmetDemands(statuses []*peermsg.Status) iter.Seq[*peermsg.UnmetDemand] {
	return func(yield func(*peermsg.UnmetDemand) bool) {
		for _, status := range statuses {
			for _, demand := range status.UnmetDemands {
				if !yield(demand) {
					return
				}
			}
		}
	}
}
