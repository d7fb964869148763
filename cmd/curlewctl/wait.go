package main

import (
	"errors"

	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/protocol"
)

// errCancelled is the error of a wait for a job that did not end as done.
var errCancelled = errors.New("was cancelled")

func waitCommand() *cobra.Command {
	return perJobCommand("wait", "Wait until jobs have ended; exit status 1 if one was cancelled", waitForJob)
}

// waitForJob polls until the job has ended and prints each change on stderr.
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
