package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

// A part is taken by force from an owner that is well and learns of it late (its
// requests for changes get no answer for some seconds), and in between a single task
// that may be anywhere is accepted by that owner: the answer to its own write is its
// only news. The taker, for whom the record is newer than its key, starts the task at
// once. Found by reading: both started it.
func TestNewOwnerStartsTaskBeforeItsRecord(t *testing.T) {
	for seed := uint64(720); seed < 740; seed++ {
		cluster := NewCluster(seed)
		cluster.ServeAPI()
		machines := addMachines(cluster, 9, 0)
		cluster.placeSingleTasksAnywhere()
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 3, 1, 4))
		var old *ControllerProcess
		taker, k := "", int32(0)
		cluster.At(11, func() {
			old = cluster.nonLeaderOwner()
			k = int32(old.Controller.DebugState().Shards[0].Shard)
			for _, name := range cluster.controllerNames {
				if process := cluster.Controllers[name]; process != old && process != cluster.leaderProcess() {
					taker = name
				}
			}
			if taker == "" || old == cluster.leaderProcess() {
				t.Fatal("no controllers to play it with")
			}
			for _, machine := range machines[:6] { // the old owner alone reaches most machines
				if cluster.ownerOf(machine) == old {
					cluster.cutLink(machine.Address(), taker)
					cluster.cutLink(machine.Address(), cluster.apiAddress(taker))
				}
			}
			cluster.DelayedRequests = append(cluster.DelayedRequests, func(from, path string, _ []byte) (time.Duration, bool) {
				return 0, cluster.now < 15*time.Second && from == old.name && strings.HasPrefix(path, "/changes")
			})
		})
		cluster.Submit(11.05, NewSubmission("wk-2", protocol.ShapeArray, 1, 1, 4)) // ends the watch that is open
		cluster.At(11.5, func() {
			cluster.Controllers[taker].Controller.HandlePeerMessage(&peermsg.Envelope{From: cluster.leaderProcess().name, Body: &peermsg.Envelope_ShardAssignment{ShardAssignment: &peermsg.ShardAssignment{Shard: k}}})
		})
		for i := range 6 {
			id := fmt.Sprintf("wk-s%d", i)
			cluster.At(11.55+float64(i)/20, func() {
				submission := NewSubmission(id, protocol.ShapeArray, 1, 1, 20)
				cluster.jobs[id], _ = submission.Validate()
				cluster.request("user", cluster.apiAddress(old.name), "POST", "/v2/runs", submission, nil, 5*time.Second, func(status int) {
					cluster.Trace("%s accepted: %d", id, status)
				})
			})
		}
		cluster.Start()
		cluster.Run(60)
		expectNoViolations(t, cluster, "seed %d", seed)
		if !strings.Contains(cluster.TraceText(), "starts wk-s0/0") || !strings.Contains(cluster.TraceText(), "starts wk-s5/0") {
			t.Errorf("seed %d: not all of the single tasks started", seed)
		}
	}
}
