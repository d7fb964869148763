package controller

import (
	"iter"

	"curlewspool/internal/peermsg"
)

// This file iterates over what controllers report of their shards.

// shardStatuses yields the shards of all statuses, in their order.
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

// unmetDemands yields the unmet demands of all statuses, in their order.
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
