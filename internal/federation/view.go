package federation

import "curlewspool/internal/shard"

// View is the state of the federation that is shown to operators.
type View struct {
	Cluster    string        `cbor:"cluster" json:"cluster"`
	Lent       []RemoteChunk `cbor:"away" json:"away"`
	HostedJobs []string      `cbor:"borrowed" json:"borrowed"`
	Counters   Counters      `cbor:"count" json:"count"`
	Events     []Event       `cbor:"events" json:"events"`
}

// RemoteChunk is an offloaded chunk of a job of this cluster.
type RemoteChunk struct {
	Job    string      `cbor:"job" json:"job"`
	First  int         `cbor:"first" json:"first"`
	Tasks  int         `cbor:"tasks" json:"tasks"`
	To     string      `cbor:"to" json:"to"`
	Number uint64      `cbor:"loan" json:"loan"`
	Reason string      `cbor:"why" json:"why"`
	Status LeaseStatus `cbor:"state" json:"state"` // as last reported by the host to this controller; "": not reported
}

// Counters counts federation events since the process started, for operators. The tag of a field is
// its name in the metrics. The Go name of a field is its name in the JSON output, and must not
// change.
type Counters struct {
	// Events of this cluster as home.
	Lent     int `metric:"lent"`
	Accepted int `metric:"accepted"`
	Refused  int `metric:"refused"`
	Back     int `metric:"back"`
	Lapsed   int `metric:"lapsed"`
	Recalled int `metric:"recalled"`

	// Events of this cluster as host.
	Offered        int `metric:"offered"`
	Declined       int `metric:"declined"`
	Borrowed       int `metric:"borrowed"`
	RefusedHere    int `metric:"refused_here"`
	Renewed        int `metric:"renewed"`
	RenewalsMissed int `metric:"renewals_missed"`
}

// Describe returns the offloaded chunks, the hosted jobs, the counters and the latest events.
func (b *Broker) Describe() *View {
	view := &View{
		Cluster:    b.settings.Cluster,
		Lent:       []RemoteChunk{},
		HostedJobs: []string{},
		Counters:   b.Counters,
		Events:     b.events.list(),
	}
	for job := range b.offloadedJobs {
		if record := b.controller.Job(job); record != nil {
			view.Lent = append(view.Lent, b.remoteChunks(record)...)
		}
	}
	for job := range b.hostedJobs {
		view.HostedJobs = append(view.HostedJobs, job)
	}
	return view
}

// remoteChunks lists the offloaded chunks of a job.
func (b *Broker) remoteChunks(record *shard.JobRecord) []RemoteChunk {
	var chunks []RemoteChunk
	for _, offloaded := range record.OffloadedChunks {
		from, to := record.TaskRange(offloaded.Chunk)
		chunk := RemoteChunk{
			Job:    record.Job.ID,
			First:  from,
			Tasks:  to - from,
			To:     offloaded.Partner,
			Number: offloaded.LeaseNumber,
			Reason: offloaded.Reason,
		}
		if lease := b.homeLeases[leaseKey(record.Job.ID, &offloaded)]; lease != nil {
			chunk.Status = lease.status
		}
		chunks = append(chunks, chunk)
	}
	return chunks
}

// RemoteRunning returns the number of tasks of a job that run at partners, according to the partners'
// latest reports. A controller gets these reports only while it is the leader.
func (b *Broker) RemoteRunning(job string) int {
	running := 0
	for key, lease := range b.homeLeases {
		if key.Job == job {
			running += lease.running
		}
	}
	return running
}
