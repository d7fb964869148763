package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/protocol"
)

// addressVariable is the environment variable that sets the default of --to.
const addressVariable = "CURLEW_TO"

// retryNoticeInterval is the minimum time between two retry notices with the same reason.
const retryNoticeInterval = 5 * time.Second

// clusterFlags holds the flags of the commands that use the user API of a cluster.
type clusterFlags struct {
	addresses    string
	asJSON       bool
	retryTimeout time.Duration
}

// register adds the flags to a command.
func (f *clusterFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.addresses, "to", os.Getenv(addressVariable),
		"address of the cluster as HOST:PORT; several controllers separated by commas (default $"+addressVariable+")")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
	flags.DurationVar(&f.retryTimeout, "patience", time.Minute, "how long to retry a request that gets no final answer")
}

// newClient makes a client that prints a notice on stderr before it retries a request. If the reason is
// the same as in the last notice, it prints one only after retryNoticeInterval.
func (f *clusterFlags) newClient(stderr io.Writer) (*client.Client, error) {
	c, err := client.New(f.addresses)
	if err != nil {
		return nil, err
	}
	c.RetryTimeout = f.retryTimeout
	lastReason, lastNotice := "", time.Time{}
	c.OnRetry = func(reason string, left time.Duration) {
		if reason == lastReason && time.Since(lastNotice) <= retryNoticeInterval {
			return
		}
		lastReason, lastNotice = reason, time.Now()
		_, _ = fmt.Fprintf(stderr, "%s; retrying for up to %v\n", reason, left.Round(time.Second))
	}
	return c, nil
}

// jobStateJSON is the state of a job as --json prints it.
type jobStateJSON struct {
	ID      string             `json:"id"`
	Status  protocol.JobStatus `json:"status"`
	Done    *int               `json:"done,omitempty"`
	Running *int               `json:"running,omitempty"`
	// AtPartners lists the tasks that are offloaded to partner clusters, with the reasons.
	AtPartners []protocol.RemoteTasks `json:"elsewhere,omitempty"`
	// UnfinishedDependencies lists the dependencies that are not done yet; the job waits for them.
	UnfinishedDependencies []string `json:"awaits,omitempty"`
	// CancelledWith is the dependency whose cancellation also cancelled this job.
	CancelledWith string `json:"cause,omitempty"`
}

// printState prints a job's state as text, or as JSON with --json.
func (f *clusterFlags) printState(out io.Writer, state *protocol.JobState) error {
	printed := &jobStateJSON{
		ID:                     state.ID,
		Status:                 state.Status,
		Done:                   state.Done,
		Running:                state.Running,
		AtPartners:             state.Remote,
		UnfinishedDependencies: state.PendingDependencies,
		CancelledWith:          state.CancelledBy,
	}
	return printResult(out, f.asJSON, printed, func(text *bytes.Buffer) {
		fmt.Fprintln(text, client.FormatState(state))
	})
}

// jobRequest sends a request about one job and returns the job's state.
type jobRequest func(command *cobra.Command, cluster *client.Client, jobID string) (*protocol.JobState, error)

// perJobCommand makes a command that sends a request for each job in its arguments, in order, and
// prints the state in each answer. The command stops at the first error.
func perJobCommand(name, short string, request jobRequest) *cobra.Command {
	flags := &clusterFlags{}
	command := &cobra.Command{
		Use:   name + " JOB...",
		Short: short,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, jobIDs []string) error {
			cluster, err := flags.newClient(command.ErrOrStderr())
			if err != nil {
				return err
			}
			for _, jobID := range jobIDs {
				state, err := request(command, cluster, jobID)
				if err != nil {
					return fmt.Errorf("%s: %w", jobID, err)
				}
				if err := flags.printState(command.OutOrStdout(), state); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags.register(command)
	return command
}
