package simulator

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// limitTeams gives every team a limit, in cores.
func (c *Cluster) limitTeams(cores map[string]float64) {
	for _, n := range c.controllerNames {
		var teams []settings.Team
		for _, name := range []string{"red", "blue", "green"} {
			teams = append(teams, settings.Team{Name: name, CoresMax: cores[name]})
		}
		c.Controllers[n].settings.Deployment.Teams = teams
	}
}

// unreachable says how a machine that holds a cancelled job is not to be had.
var unreachable = map[string]func(s *Cluster, w *Machine, from, to float64){
	"cut off": func(s *Cluster, w *Machine, from, to float64) { s.cutLinksFor(from, to, s.machineLinks(w)) },
	"hangs within its lease": func(s *Cluster, w *Machine, from, to float64) {
		s.At(from, func() { w.Hung = true })
		s.At(min(to, from+10), func() { w.Hung = false })
	},
	"hangs beyond its lease": func(s *Cluster, w *Machine, from, to float64) {
		s.At(from, func() { w.Hung = true })
		s.At(to, func() { w.Hung = false })
	},
	"hears nothing":  func(s *Cluster, w *Machine, from, to float64) { s.partitionInboundFor(from, to, w) },
	"reaches nobody": func(s *Cluster, w *Machine, from, to float64) { s.partitionOutbound(from, to, w) },
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
				s := NewCluster(seed)
				s.ServeAPI()
				s.limitTeams(limits)
				s.histories.FaultsOver = 70 * time.Second
				s.monitorWaitingJobs()
				addMachines(s, 8, 0)
				i := 0
				for _, team := range []string{"red", "blue", "green"} {
					of := func(x *protocol.Submission) { x.Team = stringPointer(team) }
					half := int(limits[team]) / 2
					s.Submit(5+float64(i), NewSubmission("wk-long-"+team, protocol.ShapeArray, half, 1, 60, of))
					s.Submit(5.4+float64(i), NewSubmission("wk-rest-"+team, protocol.ShapeArray, int(limits[team])-half, 1, 25, of))
					s.Submit(9+float64(i), NewSubmission("wk-next-"+team, protocol.ShapeArray, 2*int(limits[team]), 1, 4, of))
					s.Submit(9.5+float64(i), NewSubmission("wk-gang-"+team, protocol.ShapeGang, 2, 2, 4, of))
					s.At(cancelAt-1, func() {
						for k, w := range s.machinesWith("wk-long-" + team) {
							if k%2 == 0 || others {
								unreachable[how](s, w, cancelAt-0.2, cancelAt+30)
							}
						}
					})
					s.Cancel(cancelAt+0.05*float64(i), "wk-long-"+team)
					i++
				}
				s.restartQuickly(cancelAt+leaderAt, 6, s.leaderProcess)
				if others {
					s.restartQuickly(cancelAt+leaderAt+0.2, 0.3, s.nonLeaderOwner)
					s.restartQuickly(cancelAt+leaderAt+5, 3, s.nonLeaderOwner)
				}
				s.Start()
				s.Run(260)
				what := fmt.Sprintf("%s, leader ends %+.1f s, others too %v (seed %d)", how, leaderAt, others, seed)
				for _, wrong := range s.checkDay(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				for team := range limits {
					expectStatus(t, s, protocol.JobCancelled, "wk-long-"+team)
				}
			}
		}
	}
}
