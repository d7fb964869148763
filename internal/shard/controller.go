package shard

import (
	"time"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// Controller is what a shard uses of the controller that owns it.
type Controller interface {
	// Now returns the time on the monotonic clock.
	Now() time.Duration
	// WallSeconds returns the wall clock time in seconds since the Unix epoch.
	WallSeconds() float64
	// Store returns the client of the key-value store.
	Store() *kvstore.Store
	// Settings returns the settings of the platform and of the operators.
	Settings() *settings.Settings
	// MachineType returns the machine type with the given name, or nil if there is none.
	MachineType(name string) *protocol.MachineType
	// SendCommands sends a machine its pending commands now, without waiting for its next report.
	SendCommands(shard *Shard, machine *Machine)
	// SetActivity records what the event loop works on, for operators. It may be called often.
	SetActivity(activity Activity)
	// CanLaunch reports whether tasks may be started: the controller's store lease is valid and
	// its cache of the store is recent.
	CanLaunch() bool
	// HasDemandFor reports whether queued tasks of any shard could run on the machine.
	// Tasks of jobs that may run on spot machines count only if withSpotJobs is set.
	HasDemandFor(machine *Machine, withSpotJobs bool) bool
	// LargeJobs returns the recently seen large jobs of all shards. Similar jobs share an entry.
	LargeJobs() map[string]LargeJob
	// HasSpareFor reports whether the machine need not be kept for the job, because enough other
	// machines of its type can be kept instead. Those machines are empty, or run only tasks that
	// the job may preempt without loss of work.
	HasSpareFor(machine *Machine, spec *protocol.Job) bool
	// SpotSuffices reports whether the jobs that allow spot machines can finish in time
	// without on-demand machines.
	SpotSuffices() bool
	// BootingCores returns this shard's share of the cores of booting machines, and the number
	// of seconds until these machines are expected to be up.
	BootingCores() (cores, seconds float64)
	// Deadlines returns a job's deadlines in seconds after its acceptance, in ascending order.
	Deadlines(spec *protocol.Job) []float64
	// WithInherited returns a copy of a job's record with the priority and deadline that the
	// job inherits from its dependent jobs, or the record itself if it inherits neither.
	WithInherited(record *JobRecord) *JobRecord
	// TeamDemand returns the cores and GPUs that a team's unfinished jobs request.
	TeamDemand(team string) (cores, gpus float64)
	// ReassignMachine transfers a machine to another shard by a transaction. The transaction
	// contains the condition that guard returns. isAllowed is called when the transaction is
	// built; if it returns false, nothing is written. done receives whether the transaction was
	// applied.
	ReassignMachine(id string, to int, guard func() protocol.Condition, isAllowed func() bool, done func(bool))
}

// LargeJob represents similar jobs whose tasks may need most of a machine. Job is the most recently
// seen of them, but with the highest number of tasks that any of them had.
type LargeJob struct {
	Job      protocol.Job
	LastSeen time.Duration
}
