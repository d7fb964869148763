package protocol

// This file bounds how many tasks a machine can have at a time. A report lists all of them and is at
// most MaxBodyBytes long, which the protocol counts in JSON. An agent with more tasks could not send
// a report that a controller accepts, so its lease would expire and all its tasks would be lost.

const (
	// reportHeaderBytes is enough for everything in a report but its tasks: the names of the
	// machine, its type and its zone, its address, and numbers.
	reportHeaderBytes = 2 << 10
	// taskReportOverhead is the maximum size of a task in a report without the job's ID.
	taskReportOverhead = 97
	// ReportCapacity is the number of bytes in a report that tasks may fill.
	ReportCapacity = MaxBodyBytes - reportHeaderBytes
)

// TaskReportSize returns the maximum size of a task of a job in a report, in bytes.
func TaskReportSize(job string) int { return len(job) + taskReportOverhead }

// maxReportedTasks returns how many tasks of a job fit into one report.
func maxReportedTasks(job string) int { return ReportCapacity / TaskReportSize(job) }
