// Command curlewctl is for users and operators of curlewspool: whole clusters on
// the loopback, jobs, and checks of what machines saw.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	// The controller is linked so; one tool chain serves both.
	_ "curlewspool/internal/libc"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "curlewctl:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "curlewctl",
		Short:         "Submit jobs to curlewspool, and run whole clusters on this machine",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          help,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(devCommand(), auditCommand(), keysCommand(), traceCommand(), metricsCommand(), nomadCommand())
	root.AddCommand(jobCommands()...)
	return root
}

// help is what a command with others below it does by itself; without it a
// misspelt one below would end with status 0.
func help(c *cobra.Command, _ []string) error { return c.Help() }

// show prints v as JSON, or as the text that describe writes for people.
func show(out io.Writer, asJSON bool, v any, describe func(text *bytes.Buffer)) error {
	if !asJSON {
		var text bytes.Buffer
		describe(&text)
		_, err := text.WriteTo(out)
		return err
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
