package main

import (
	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/protocol"
)

// abortCommand makes the command that cancels jobs.
func abortCommand() *cobra.Command {
	return perJobCommand("abort", "Cancel jobs", requestAbort)
}

// requestAbort asks the cluster to cancel one job.
func requestAbort(command *cobra.Command, cluster *client.Client, jobID string) (*protocol.JobState, error) {
	return cluster.Abort(command.Context(), jobID)
}
