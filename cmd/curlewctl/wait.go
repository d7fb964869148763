package main

import (
	"errors"

	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/protocol"
)

// errCancelled is the error of the wait command for a job that was cancelled.
var errCancelled = errors.New("was cancelled")

// waitCommand makes the command that waits for jobs.
func waitCommand() *cobra.Command {
	return perJobCommand("wait", "Wait until jobs have finished; exit status 1 if one was cancelled", waitForJob)
}

// waitForJob polls until the job has finished and prints each change of its state on stderr, except
// the final state. It returns errCancelled with the state of a cancelled job.
func waitForJob(command *cobra.Command, cluster *client.Client, jobID string) (*protocol.JobState, error) {
	state, err := cluster.Wait(command.Context(), jobID, func(state *protocol.JobState) {
		if !state.Status.IsFinal() {
			command.PrintErrln(client.FormatState(state))
		}
	})
	if err == nil && state.Status == protocol.JobCancelled {
		err = errCancelled
	}
	return state, err
}
