// Command curlewctl is the tool of curlewspool's users and operators: it submits jobs
// and shows their state, runs whole clusters on this machine, exports metrics and
// traces of controllers, makes certificates, and checks what machines observed.
//
// Each subcommand has a file of its own; cluster.go and output.go hold what several
// share. Errors go to stderr and end the program with status 1.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	// Links this program as the controller is linked, so that one tool chain
	// serves both.
	_ "curlewspool/internal/libc"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "curlewctl:", err)
		os.Exit(1)
	}
}

// rootCommand makes the command with all subcommands.
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

// printHelp is the action of a command that only groups subcommands. With it cobra
// reports a misspelt subcommand as an error; without it the status would be 0.
func printHelp(command *cobra.Command, _ []string) error { return command.Help() }
