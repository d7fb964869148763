package main

import (
	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/protocol"
)

// statusCommand makes the command that shows the state of jobs.
func statusCommand() *cobra.Command {
	return perJobCommand("status", "Show the state of jobs", requestStatus)
}

// requestStatus asks the cluster for the state of one job.
func requestStatus(command *cobra.Command, cluster *client.Client, jobID string) (*protocol.JobState, error) {
	return cluster.Status(command.Context(), jobID)
}
