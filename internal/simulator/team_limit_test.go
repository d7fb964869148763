package simulator

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// unreachable says how a machine that holds a cancelled job is not to be had.
var unreachable = map[string]func(cluster *Cluster, machine *Machine, from, to float64){
	"cut off": func(cluster *Cluster, machine *Machine, from, to float64) {
		cluster.cutLinksFor(from, to, cluster.machineLinks(machine))
	},
	"hangs within its lease": func(cluster *Cluster, machine *Machine, from, to float64) {
		cluster.At(from, func() { machine.Hung = true })
		cluster.At(min(to, from+10), func() { machine.Hung = false })
	},
	"hangs beyond its lease": func(cluster *Cluster, machine *Machine, from, to float64) {
		cluster.At(from, func() { machine.Hung = true })
		cluster.At(to, func() { machine.Hung = false })
	},
	"hears nothing": func(cluster *Cluster, machine *Machine, from, to float64) {
		cluster.partitionInboundFor(from, to, machine)
	},
	"reaches nobody": func(cluster *Cluster, machine *Machine, from, to float64) {
		cluster.partitionOutbound(from, to, machine)
	},
}

// Every team is at its limit when one job of each is cancelled whose machines can't be
// had, and the leader and the owners of the teams' parts end before, as, or after that;
// each team has more that waits. What may still be there counts against the limit, and
// what waits begins once it is gone.
func TestTeamsAtLimitDuringLeaderChange(t *testing.T) {
	t.Parallel()
	const cancelAt = 14.0
	limits := map[string]float64{"red": 10, "blue": 6, "green": 5}
	seed := uint64(2300)
	for _, how := range slices.Sorted(maps.Keys(unreachable)) {
		for _, leaderAt := range []float64{-4, -0.5, 0, 0.3, 2, 7} {
			for _, others := range []bool{false, true} {
				seed++
				cluster := NewCluster(seed)
				cluster.ServeAPI()
				cluster.limitTeams(limits)
				cluster.histories.FaultsOver = 70 * time.Second
				cluster.monitorWaitingJobs()
				addMachines(cluster, 8, 0)
				i := 0
				for _, team := range []string{"red", "blue", "green"} {
					of := ofTeam(team)
					half := int(limits[team]) / 2
					cluster.Submit(5+float64(i), NewSubmission("wk-long-"+team, protocol.ShapeArray, half, 1, 60, of))
					cluster.Submit(5.4+float64(i), NewSubmission("wk-rest-"+team, protocol.ShapeArray, int(limits[team])-half, 1, 25, of))
					cluster.Submit(9+float64(i), NewSubmission("wk-next-"+team, protocol.ShapeArray, 2*int(limits[team]), 1, 4, of))
					cluster.Submit(9.5+float64(i), NewSubmission("wk-gang-"+team, protocol.ShapeGang, 2, 2, 4, of))
					cluster.At(cancelAt-1, func() {
						for k, machine := range cluster.machinesWith("wk-long-" + team) {
							if k%2 == 0 || others {
								unreachable[how](cluster, machine, cancelAt-0.2, cancelAt+30)
							}
						}
					})
					cluster.Cancel(cancelAt+0.05*float64(i), "wk-long-"+team)
					i++
				}
				cluster.restartQuickly(cancelAt+leaderAt, 6, cluster.leaderProcess)
				if others {
					cluster.restartQuickly(cancelAt+leaderAt+0.2, 0.3, cluster.nonLeaderOwner)
					cluster.restartQuickly(cancelAt+leaderAt+5, 3, cluster.nonLeaderOwner)
				}
				cluster.Start()
				cluster.Run(260)
				what := fmt.Sprintf("%s, leader ends %+.1f s, others too %v (seed %d)", how, leaderAt, others, seed)
				expectCleanDay(t, cluster, "%s", what)
				for team := range limits {
					expectStatus(t, cluster, protocol.JobCancelled, "wk-long-"+team)
				}
			}
		}
	}
}
