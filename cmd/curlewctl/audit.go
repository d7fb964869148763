package main

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"curlewspool/internal/historycheck"
)

// auditCommand makes the command that checks a file of observations by machines.
func auditCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "audit FILE",
		Short: "Check the history that machines recorded: each task finished once and never ran in two places",
		Long: "Checks the machines.jsonl that `curlewctl dev` writes to its folder. Prints every violation; the exit status\n" +
			"is 1 if there is any.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			report, err := checkHistory(args[0])
			if err != nil {
				return err
			}
			err = printResult(command.OutOrStdout(), asJSON, report, func(text *bytes.Buffer) { describeReport(text, report) })
			if err != nil {
				return err
			}
			if len(report.Violations) > 0 {
				return fmt.Errorf("%d violations found", len(report.Violations))
			}
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// checkHistory checks the history of tasks that a file of observations records.
func checkHistory(name string) (*historycheck.Report, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading: closing it cannot lose data
	report, err := historycheck.Check(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return report, nil
}

// describeReport writes the counts and violations of a report as text.
func describeReport(text *bytes.Buffer, report *historycheck.Report) {
	fmt.Fprintf(text, "%d tasks of %d jobs, %d starts: %d finished once, %d started again with their result kept, %d still there, %d lost and not run again\n",
		report.Tasks, len(report.Jobs), report.Starts, report.Finished, report.ResultsReused, report.Running, report.Lost)
	for _, cluster := range slices.Sorted(maps.Keys(report.ByCluster)) {
		fmt.Fprintf(text, "finished in %s: %d\n", cmp.Or(cluster, "the cluster"), report.ByCluster[cluster])
	}
	for _, violation := range report.Violations {
		fmt.Fprintln(text, "WRONG", violation)
	}
}
