package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

const (
	// testUnixTime is the wall clock time in tests, in Unix seconds.
	testUnixTime = 1_700_000_000
	// testToken is the shard's fencing token in tests.
	testToken = 100
)

// recordingEnvironment is an environment that records sent transactions and answers no request.
// Its clock stands still.
type recordingEnvironment struct {
	scheduled []func()
	sent      []protocol.Transaction
}

func (e *recordingEnvironment) Now() time.Duration              { return time.Minute }
func (e *recordingEnvironment) Wall() time.Time                 { return time.Unix(testUnixTime, 0) }
func (e *recordingEnvironment) Rand() *rand.Rand                { return rand.New(rand.NewPCG(1, 2)) }
func (e *recordingEnvironment) After(_ time.Duration, f func()) { e.scheduled = append(e.scheduled, f) }
func (e *recordingEnvironment) Send(string, *peermsg.Envelope)  {}
func (e *recordingEnvironment) Call(_, _, path string, in, _ any, _ time.Duration, _ func(int)) {
	if transaction, ok := in.(*protocol.Transaction); ok && path == "/multi" {
		e.sent = append(e.sent, *transaction)
	}
}

// runScheduled runs all scheduled functions, including those that they schedule.
func (e *recordingEnvironment) runScheduled() {
	for len(e.scheduled) > 0 {
		f := e.scheduled[0]
		e.scheduled = e.scheduled[1:]
		f()
	}
}

// fakeController is a controller with a single machine type in a recordingEnvironment.
type fakeController struct {
	env    *recordingEnvironment
	store  *kvstore.Store
	config *settings.Settings
	// launchChecks counts the calls of CanLaunch, of which there is one for each check of a machine's
	// direct commands.
	launchChecks int
	sentTo       []string          // machines to which commands were sent
	deadlines    []float64         // of all jobs
	operations   map[Operation]int // counts the calls of SetActivity
}

func (c *fakeController) Now() time.Duration           { return c.env.Now() }
func (c *fakeController) WallSeconds() float64         { return testUnixTime }
func (c *fakeController) Store() *kvstore.Store        { return c.store }
func (c *fakeController) Settings() *settings.Settings { return c.config }
func (c *fakeController) MachineType(string) *protocol.MachineType {
	return &protocol.MachineType{Name: "small", Cores: 4, MemoryGB: 16, BootSeconds: 10}
}
func (c *fakeController) HasDemandFor(*Machine, bool) bool           { return true }
func (c *fakeController) LargeJobs() map[string]LargeJob             { return nil }
func (c *fakeController) Deadlines(*protocol.Job) []float64          { return c.deadlines }
func (c *fakeController) BootingCores() (float64, float64)           { return 0, 0 }
func (c *fakeController) SpotSuffices() bool                         { return false }
func (c *fakeController) HasSpareFor(*Machine, *protocol.Job) bool   { return false }
func (c *fakeController) TeamDemand(string) (float64, float64)       { return 0, 0 }
func (c *fakeController) WithInherited(record *JobRecord) *JobRecord { return record }
func (c *fakeController) ReassignMachine(string, int, func() protocol.Condition, func() bool, func(bool)) {
}

func (c *fakeController) SetActivity(activity Activity) {
	c.operations[activity.Operation]++
}

func (c *fakeController) SendCommands(_ *Shard, machine *Machine) {
	c.sentTo = append(c.sentTo, machine.ID)
}

func (c *fakeController) CanLaunch() bool {
	c.launchChecks++
	return true
}

// newTestShard returns an empty shard with fencing token testToken.
func newTestShard(t testing.TB) (*recordingEnvironment, *Shard) {
	t.Helper()
	env := &recordingEnvironment{}
	config := &settings.Settings{Operators: settings.Defaults()}
	config.Deployment.Workers.Report = 2
	config.Deployment.Workers.Lease = 14
	config.Deployment.State.ValueKB = 16
	limits := kvstore.Limits{RequestsPerSecond: 100, WritesPerSecond: 100, MutationsPerTransaction: 12, Members: 1}
	store := kvstore.New(env, "state", "n0", limits, func(string, []byte) {})
	guard := func() protocol.Condition { return protocol.Condition{Key: "a/o/0", Revision: 7} }
	controller := &fakeController{env: env, store: store, config: config, operations: map[Operation]int{}}
	return env, New(0, testToken, controller, guard, 0)
}

// addTestMachine adds a machine to the shard and has it report that it runs no tasks.
func addTestMachine(t testing.TB, shard *Shard, id string) {
	t.Helper()
	shard.UpdateMachine(id, &MachineRecord{ID: id, Type: "small", Zone: "a", Address: "w"})
	if !shard.HandleReport(shard.Machines[id], newTestReport(id, 1), agent.Posted) {
		t.Fatal("report refused")
	}
}

// newTestReport returns a report of a machine without tasks.
func newTestReport(machineID string, sequence uint64) *protocol.Report {
	return &protocol.Report{
		Machine:      machineID,
		Address:      "w",
		Type:         "small",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     sequence,
		FencingToken: testToken,
	}
}

// newShardWithQueuedJob returns a shard with one machine, on which two tasks of a job are placed.
// Their launch waits for a progress write.
func newShardWithQueuedJob(t *testing.T) (*recordingEnvironment, *Shard) {
	t.Helper()
	env, shard := newTestShard(t)
	addTestMachine(t, shard, "i-1")
	array := protocol.Job{ID: "wk-1", Shape: protocol.ShapeArray, Tasks: 2, Cores: 1, Estimate: 9}
	shard.UpdateJob("wk-1", &JobRecord{Job: array, ChunkSize: 2, ChunkShards: []int{0}}, 3)
	shard.Schedule()
	return env, shard
}
