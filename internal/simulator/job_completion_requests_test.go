package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// A cancellation, a question and a repeated submission meet the end of a job's last
// task, with no other trouble or with a state service that answers up to 1.2 s late:
// before it ends, at the same moment, while its end is stored and after. Whatever was
// answered first stays so, at each controller, and nothing of a cancelled job is left.
func TestRequestsAsJobCompletes(t *testing.T) {
	kinds := []struct {
		name   string
		shape  protocol.JobShape
		tasks  int
		single bool
	}{{"single task", protocol.ShapeArray, 1, false}, {"single task of a rush", protocol.ShapeArray, 1, true}, {"array of three", protocol.ShapeArray, 3, false}, {"gang", protocol.ShapeGang, 2, false}}
	ends := map[protocol.JobStatus]int{}
	for i, kind := range kinds {
		for k, slow := range []float64{0, 1.2} {
			submission := NewSubmission("wk-1", kind.shape, kind.tasks, 1, 5)
			play := func(meet func(cluster *Cluster)) *Cluster {
				cluster := NewCluster(uint64(830 + 10*i + k))
				cluster.ServeAPI()
				addMachines(cluster, 3, 0)
				if kind.single {
					cluster.placeSingleTasksAnywhere()
				}
				cluster.Submit(5, submission)
				if slow > 0 {
					cluster.At(7, func() {
						cluster.State.ResponseDelay = func(string) time.Duration {
							return env.Seconds(slow * cluster.random.Float64())
						}
					})
				}
				meet(cluster)
				cluster.Start()
				cluster.Run(30)
				return cluster
			}
			end := 0.0 // when its last task ends, if nobody meddles
			plain := play(func(*Cluster) {})
			for _, line := range plain.TraceLines {
				if strings.HasSuffix(line, " done") && strings.Contains(line, "wk-1/") {
					fmt.Sscanf(line, "%f", &end)
				}
			}
			expectStatus(t, plain, protocol.JobDone, "wk-1")
			for _, first := range []userAction{cancelAgain, pollAgain, submitAgain} {
				for d := -0.04 - slow; d < 0.1+slow; d += 0.01 + slow/12 {
					cluster := play(func(cluster *Cluster) {
						for x, action := range []userAction{first, pollAgain, cancelAgain, submitAgain, pollAgain} {
							cluster.At(end+d+(0.003+slow/4)*float64(x), func() { cluster.repeatRequest(cluster.controllerNames[x%3], action, submission) })
						}
						for x, name := range cluster.controllerNames {
							cluster.At(end+12+float64(x), func() {
								cluster.repeatRequest(name, submitAgain, submission)
								cluster.repeatRequest(name, pollAgain, submission)
							})
						}
					})
					for _, violation := range cluster.Violations {
						t.Errorf("%s, slow %v, %s %.3f s after the end: %s", kind.name, slow, first, d, violation)
					}
					if got := cluster.ReportedStatus("wk-1"); got != protocol.JobDone && got != protocol.JobCancelled {
						t.Errorf("%s, slow %v, %s %.3f s after the end: it is %q", kind.name, slow, first, d, got)
					}
					if on := cluster.MachinesRunning("wk-1"); len(on) > 0 {
						t.Errorf("%s: still on %v", kind.name, on)
					}
					ends[cluster.ReportedStatus("wk-1")]++
				}
			}
		}
	}
	if ends[protocol.JobDone] < 50 || ends[protocol.JobCancelled] < 50 {
		t.Errorf("ends %v: too few to tell", ends)
	}
	t.Logf("ends: %v", ends)
}
