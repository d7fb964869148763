// Command curlewctl is the command-line tool for users and operators of curlewspool. It submits
// jobs and shows their state, runs whole clusters on this machine, exports metrics and traces of
// controllers, creates certificates, and checks the history that machines recorded.
//
// Each subcommand has its own file; cluster.go and output.go hold code that several subcommands share.
// After an error, which is printed to stderr, the exit status is 1.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	// This import links the program against the system C library, like the controller, so that the
	// same tool chain builds both.
	_ "curlewspool/internal/libc"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "curlewctl:", err)
		os.Exit(1)
	}
}

// rootCommand makes the curlewctl command with all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "curlewctl",
		Short:         "Submit jobs to curlewspool clusters, operate them, and run them on this machine",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          printHelp,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		submitCommand(), statusCommand(), waitCommand(), abortCommand(),
		devCommand(), auditCommand(),
		metricsCommand(), traceCommand(),
		keysCommand(),
		nomadCommand(),
	)
	return root
}

// printHelp is the RunE of commands that only group subcommands. For a command with a RunE, cobra
// reports a misspelt subcommand as an error. For a command without one, cobra would print the help, and
// the exit status would be 0.
func printHelp(command *cobra.Command, _ []string) error { return command.Help() }
