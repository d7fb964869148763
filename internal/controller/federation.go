package controller

import (
	"math/rand/v2"
	"net/http"

	"curlewspool/internal/election"
	"curlewspool/internal/federation"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/shard"
)

// This file connects the federation broker with the controller. It passes requests of partners
// to the broker and implements part of federation.Controller for it.

// EnableFederation creates the broker if the operators' settings list partners. It must be
// called before Start.
func (c *Controller) EnableFederation(client federation.PartnerClient) {
	if c.settings.Federation != nil {
		c.federation = federation.New(c, client, c.settings.Federation)
	}
}

// HandlePartnerRequest handles a request of a partner cluster. from names the partner, which was
// identified by its certificate.
func (c *Controller) HandlePartnerRequest(from, path string, body []byte, reply federation.Reply) {
	if c.federation == nil || c.settings.Federation.Partner(from) == nil {
		reply(http.StatusForbidden, &protocol.ErrorResponse{Error: "no partner"}, 0)
		return
	}
	if !c.store.IsLoaded() || c.store.IsUnavailable() || len(c.machineTypes) == 0 {
		reply(http.StatusServiceUnavailable, &protocol.ErrorResponse{Error: "not ready"}, 1)
		return
	}
	switch path {
	case federation.PathOffers:
		decodePartnerRequest(c, from, body, reply, c.federation.AnswerOffers)
	case federation.PathLeases:
		decodePartnerRequest(c, from, body, reply, c.federation.AcceptLease)
	case federation.PathStates:
		decodePartnerRequest(c, from, body, reply, c.federation.AnswerStates)
	case federation.PathRenewals:
		decodePartnerRequest(c, from, body, reply, c.federation.AnswerRenewals)
	default:
		reply(http.StatusNotFound, &protocol.ErrorResponse{Error: "no such path"}, 0)
	}
}

// decodePartnerRequest decodes the body of a request and passes it to handle. Only the leader
// handles requests of partners; other controllers refuse them.
func decodePartnerRequest[Request any](c *Controller, from string, body []byte, reply federation.Reply,
	handle func(from string, request *Request, reply federation.Reply)) {
	request := new(Request)
	if len(body) > protocol.MaxBodyBytes || !protocol.IsMap(body) || protocol.Decode(body, request) != nil {
		reply(http.StatusBadRequest, &protocol.ErrorResponse{Error: "not understood"}, 0)
		return
	}
	if !c.IsLeader() {
		reply(http.StatusMisdirectedRequest, &protocol.ErrorResponse{Error: "not the leader"}, 0)
		return
	}
	handle(from, request, reply)
}

// Rand returns the controller's source of random numbers.
func (c *Controller) Rand() *rand.Rand { return c.env.Rand() }

// LeaderCondition returns a transaction condition that holds only while this controller is the
// leader.
func (c *Controller) LeaderCondition() protocol.Condition {
	return c.registry.OwnershipCondition(election.LeaderKey)
}

// StoredProgress returns the stored progress of a job, including its tasks in partner clusters:
// the inclusive ranges of finished tasks, and the number of running ones.
func (c *Controller) StoredProgress(id string) (done [][2]int, running int) {
	record := c.jobs[id]
	if record == nil {
		return nil, 0
	}
	lists := [][][2]int{record.DoneRanges}
	for _, progress := range c.progress[id] {
		running += progress.Running
		lists = append(lists, progress.DoneRanges)
	}
	if c.federation != nil {
		running += c.federation.RemoteRunning(id)
	}
	return shard.MergeRanges(0, lists...), running
}

// RemoteTasks lists the tasks of a job that are offloaded to partner clusters, with the reason for
// each offload.
func (c *Controller) RemoteTasks(id string) []protocol.RemoteTasks {
	record := c.jobs[id]
	if record == nil {
		return nil
	}
	var remote []protocol.RemoteTasks
	for _, offloaded := range record.OffloadedChunks {
		from, to := record.TaskRange(offloaded.Chunk)
		remote = append(remote, protocol.RemoteTasks{
			Cluster:   offloaded.Partner,
			FirstTask: from,
			Tasks:     to - from,
			Reason:    offloaded.Reason,
		})
	}
	return remote
}

// EachHostedJob calls visit for each hosted job of the shards that are owned here.
func (c *Controller) EachHostedJob(visit func(s *shard.Shard, record *shard.JobRecord, validity *remotelease.Validity)) {
	c.eachShard(func(s *shard.Shard) {
		if c.ownedShard(s.ID) == nil {
			return
		}
		s.EachHosted(func(record *shard.JobRecord, validity *remotelease.Validity) { visit(s, record, validity) })
	})
}
