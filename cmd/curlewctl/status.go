package main

import (
	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/protocol"
)

func statusCommand() *cobra.Command {
	return perJobCommand("status", "Show the state of jobs", requestStatus)
}

func requestStatus(command *cobra.Command, cluster *client.Client, jobID string) (*protocol.JobState, error) {
	return cluster.Status(command.Context(), jobID)
}
