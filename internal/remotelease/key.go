package remotelease

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// HostedJobIDPrefix is the prefix of the IDs of hosted jobs. Users of a federated cluster may not
// submit jobs whose IDs have this prefix, so a hosted job never has the ID of a user's job.
const HostedJobIDPrefix = "wk-at."

// jobIDPrefix is the prefix of every job ID (protocol.ValidJobID). Key.JobID replaces this prefix of
// the job's ID with HostedJobIDPrefix, which itself begins with jobIDPrefix.
const jobIDPrefix = "wk-"

// maxJobIDLength is the maximum length of a job ID, see protocol.ValidJobID.
const maxJobIDLength = 103

// jobIDFieldCount is the number of fields in the ID of a hosted job, separated by dots: home cluster,
// lease number, first task, and the job's ID in the home cluster. The last field may contain dots.
const jobIDFieldCount = 4

var clusterNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,19}$`)

// IsValidClusterName reports whether name may be the name of a cluster.
func IsValidClusterName(name string) bool { return clusterNamePattern.MatchString(name) }

// Key identifies a remote lease in the home cluster. FirstTask is the first task of the chunk. Number
// increases with each remote lease of the job.
type Key struct {
	Job       string
	FirstTask int
	Number    uint64
}

// JobID returns the ID of the hosted job in the host cluster, or "" if it would be too long.
func (k Key) JobID(home string) string {
	id := fmt.Sprintf("%s%s.%d.%d.%s", HostedJobIDPrefix, home, k.Number, k.FirstTask, strings.TrimPrefix(k.Job, jobIDPrefix))
	if len(id) > maxJobIDLength {
		return ""
	}
	return id
}

// ParseJobID parses the ID of a hosted job, and returns the home cluster and the key of the remote
// lease. ok is false if id is not the ID of a hosted job.
func ParseJobID(id string) (home string, key Key, ok bool) {
	rest, hasPrefix := strings.CutPrefix(id, HostedJobIDPrefix)
	fields := strings.SplitN(rest, ".", jobIDFieldCount)
	if !hasPrefix || len(fields) != jobIDFieldCount || !IsValidClusterName(fields[0]) {
		return "", Key{}, false
	}
	number, numberErr := strconv.ParseUint(fields[1], 10, 64)
	firstTask, taskErr := strconv.Atoi(fields[2])
	if numberErr != nil || taskErr != nil || firstTask < 0 {
		return "", Key{}, false
	}
	return fields[0], Key{jobIDPrefix + fields[3], firstTask, number}, true
}
