package settings

import (
	"fmt"
	"strconv"

	"gopkg.in/ini.v1"
)

// Operators holds the operators' settings. The tags are the names of the INI sections and keys.
type Operators struct {
	Rank       RankSettings       `ini:"rank"`
	Score      ScoreSettings      `ini:"score"`
	Dispatch   DispatchSettings   `ini:"dispatch"`
	ScaleIn    ScaleInSettings    `ini:"rent"`
	StoreLease StoreLeaseSettings `ini:"grants"`
	Faults     FaultSettings      `ini:"blame"`
}

// RankSettings configure how the leader ranks jobs by their scheduling margin. DESIGN calls the fields
// max and N.
type RankSettings struct {
	Max    int `ini:"max"`    // rank of the most urgent jobs
	Window int `ini:"window"` // a job's margin is compared with this many recent margins of other jobs
}

// ScoreSettings are the weights of the score that orders a shard's queue. DESIGN calls the first five
// WA, WWM, min, max and k.
type ScoreSettings struct {
	Aging                 float64 `ini:"aging"`        // points per second of age
	ShortJobWeight        float64 `ini:"short"`        // points of the job with the shortest estimate; a job whose estimate is n times as long gets 1/n of them
	DeadlineMin           float64 `ini:"deadline_min"` // points while the deadline is far or has been missed
	DeadlineMax           float64 `ini:"deadline_max"` // points if the job is expected to end right at its deadline
	DeadlineRiseEstimates float64 `ini:"k"`            // the points rise if the job is expected to end less than this many of its estimates before the deadline
	Priority              float64 `ini:"priority"`     // points per level of the user's priority
	StartWithin           float64 `ini:"begin"`        // seconds within which jobs should start
	LateStartWeight       float64 `ini:"begin_weight"` // points of a job that has not started by the age StartWithin/2; the points rise linearly from 0 at the age StartWithin/4
}

// DispatchSettings configure how jobs are split into chunks, and which jobs may start on any machine
// of their shard.
type DispatchSettings struct {
	ChunksPerShard float64 `ini:"chunks_per_part"` // maximum number of chunks of an array, as a multiple of the number of shards
	MinChunkTasks  int     `ini:"chunk_min"`       // minimum number of tasks of a chunk
	// Anywhere is a threshold, in seconds, for the backlog of writes to the key-value store. The
	// backlog is the time that the queued writes take at the store's write rate. While the backlog
	// is at or above the threshold, array jobs with one task are accepted with
	// shard.JobRecord.Anywhere set: they may start on any machine of their shard without a record
	// that names the machine. At 0, all array jobs with one task are accepted like this.
	Anywhere float64 `ini:"anywhere"`
}

// ScaleInSettings configure when machines are scaled in or given up. Each factor is a duration, as a
// multiple of the machine type's boot time.
type ScaleInSettings struct {
	IdleTimeoutFactor          float64 `ini:"idle_boots"`     // idle time until a rented machine is scaled in
	PermanentIdleTimeoutFactor float64 `ini:"own_idle_boots"` // idle time until a permanent machine is scaled in
	BootTimeoutFactor          float64 `ini:"late_boots"`     // boot duration after which a machine that is still booting is given up
}

// FaultSettings are the probabilities with which package faults attributes failures to jobs and
// machines.
type FaultSettings struct {
	FaultyJobPrior         float64 `ini:"mistaken"` // share of jobs that are faulty
	FaultyMachinePrior     float64 `ini:"sick"`     // share of machines that are faulty
	TransientFailurePrior  float64 `ini:"accident"` // share of tasks that fail for a transient reason
	SuspectJobThreshold    float64 `ini:"hold"`     // if a job is faulty with at least this probability, only one of its tasks is tried at a time
	RetireMachineThreshold float64 `ini:"return"`   // if a machine is faulty with at least this probability, it is retired
}

// StoreLeaseSettings configure how long the ownership of a shard lasts.
type StoreLeaseSettings struct {
	TTLRatio            float64 `ini:"life"`   // TTL of a controller's store lease, as a share of lease_s
	RenewIntervalRatio  float64 `ini:"renew"`  // renewal interval, as a share of the TTL
	AbsenceTimeoutRatio float64 `ini:"absent"` // how long a controller may be unresponsive before it is replaced, as a share of lease_s
	// ConfirmOwnership enables ownership confirmation. During an outage of the key-value store, an
	// owner may then renew machine leases as long as every other member confirms that the owner
	// still owns its shards. Each confirmation lists the recent cancellations that the member knows
	// of. The setting has no effect in a cluster with partner clusters.
	ConfirmOwnership bool `ini:"vouch"`
}

// Defaults returns the values that apply to settings that are not set.
func Defaults() Operators {
	return Operators{
		Rank: RankSettings{
			Max:    8,
			Window: 100,
		},
		Score: ScoreSettings{
			Aging:                 0.5,
			ShortJobWeight:        1000,
			DeadlineMin:           0,
			DeadlineMax:           500,
			DeadlineRiseEstimates: 5,
			Priority:              3000,
			StartWithin:           240,
			LateStartWeight:       12000,
		},
		Dispatch: DispatchSettings{
			ChunksPerShard: 1,
			MinChunkTasks:  4,
			Anywhere:       0.5,
		},
		ScaleIn: ScaleInSettings{
			IdleTimeoutFactor:          1.5,
			PermanentIdleTimeoutFactor: 10,
			BootTimeoutFactor:          5,
		},
		StoreLease: StoreLeaseSettings{
			TTLRatio:            1,
			RenewIntervalRatio:  0.08,
			AbsenceTimeoutRatio: 0.5,
		},
		Faults: FaultSettings{
			FaultyJobPrior:         0.02,
			FaultyMachinePrior:     0.005,
			TransientFailurePrior:  0.001,
			SuspectJobThreshold:    0.9,
			RetireMachineThreshold: 0.99,
		},
	}
}

// read sets the settings that a file contains and refuses unknown ones. It ignores the sections that
// readFederation reads.
func (o *Operators) read(file *ini.File) error {
	// The encoded defaults list every section and key that may be set.
	known := ini.Empty()
	defaults := Defaults()
	if err := known.ReflectFrom(&defaults); err != nil {
		return err
	}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if isFederationSection(section.Name()) {
			continue
		}
		if !known.HasSection(section.Name()) {
			return fmt.Errorf("unknown section [%s]", section.Name())
		}
		if err := checkKeys(section, known.Section(section.Name())); err != nil {
			return err
		}
	}
	if err := file.StrictMapTo(o); err != nil {
		return err
	}
	return o.check()
}

// checkKeys returns an error if a key of the section has no default, or if its value is not of the
// same type as the default: a flag or a number.
func checkKeys(section, defaults *ini.Section) error {
	for _, key := range section.Keys() {
		if !defaults.HasKey(key.Name()) {
			return fmt.Errorf("unknown setting %s in [%s]", key.Name(), section.Name())
		}
		if isFlag(defaults.Key(key.Name())) {
			if _, err := key.Bool(); err != nil {
				return fmt.Errorf("[%s] %s: %q must be yes or no", section.Name(), key.Name(), key.String())
			}
			continue
		}
		if _, err := key.Float64(); err != nil {
			return fmt.Errorf("[%s] %s: %q is not a number", section.Name(), key.Name(), key.String())
		}
	}
	return nil
}

// isFlag reports whether an encoded default is a flag, which is true or false.
func isFlag(key *ini.Key) bool {
	return key.String() == strconv.FormatBool(true) || key.String() == strconv.FormatBool(false)
}

// boundedSetting is a setting's value and the range that it must be in.
type boundedSetting struct {
	name             string // section and key
	value            float64
	minimum, maximum float64
}

// check returns an error for the first setting that is out of its range.
func (o *Operators) check() error {
	for _, setting := range o.boundedSettings() {
		if !(setting.value >= setting.minimum && setting.value <= setting.maximum) { // the negation also refuses NaN
			return fmt.Errorf("%s is %v, must be from %v to %v", setting.name, setting.value, setting.minimum, setting.maximum)
		}
	}
	return nil
}

// boundedSettings lists the numeric settings with their ranges.
func (o *Operators) boundedSettings() []boundedSetting {
	return []boundedSetting{
		{"[rank] max", float64(o.Rank.Max), 1, 30},
		{"[rank] window", float64(o.Rank.Window), 1, 100000},
		{"[score] aging", o.Score.Aging, 0, 1e6},
		{"[score] short", o.Score.ShortJobWeight, 0, 1e6},
		{"[score] deadline_min", o.Score.DeadlineMin, 0, 1e6},
		{"[score] deadline_max", o.Score.DeadlineMax, o.Score.DeadlineMin, 1e6},
		{"[score] k", o.Score.DeadlineRiseEstimates, 0, 100},
		{"[score] priority", o.Score.Priority, 0, 1e9},
		{"[score] begin", o.Score.StartWithin, 1, 1e6},
		{"[score] begin_weight", o.Score.LateStartWeight, 0, 1e9},
		{"[dispatch] chunks_per_part", o.Dispatch.ChunksPerShard, 0.1, 8},
		{"[dispatch] anywhere", o.Dispatch.Anywhere, 0, 1e6},
		{"[dispatch] chunk_min", float64(o.Dispatch.MinChunkTasks), 1, 100000},
		{"[rent] idle_boots", o.ScaleIn.IdleTimeoutFactor, 0, 1000},
		{"[rent] late_boots", o.ScaleIn.BootTimeoutFactor, 1.5, 1000},
		{"[rent] own_idle_boots", o.ScaleIn.PermanentIdleTimeoutFactor, 0, 10000},
		{"[grants] life", o.StoreLease.TTLRatio, 0.2, 1},
		{"[grants] renew", o.StoreLease.RenewIntervalRatio, 0.01, 0.3},
		{"[grants] absent", o.StoreLease.AbsenceTimeoutRatio, 0.05, 1},
		{"[blame] mistaken", o.Faults.FaultyJobPrior, 1e-6, 0.5},
		{"[blame] sick", o.Faults.FaultyMachinePrior, 1e-6, 0.5},
		{"[blame] accident", o.Faults.TransientFailurePrior, 1e-6, 0.5},
		{"[blame] hold", o.Faults.SuspectJobThreshold, 0.5, 0.999999},
		{"[blame] return", o.Faults.RetireMachineThreshold, 0.5, 0.999999},
	}
}
