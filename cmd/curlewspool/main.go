// Command curlewspool runs a controller of the cluster scheduler.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"curlewspool/internal/controller"
	_ "curlewspool/internal/libc" // the platform requires programs linked with the system C library
	"curlewspool/internal/settings"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "curlewspool:", err)
		os.Exit(1)
	}
}

// rootCommand makes the command that runs a controller, with its subcommands.
func rootCommand() *cobra.Command {
	var config, ini string
	root := &cobra.Command{
		Use:           "curlewspool --config FILE",
		Short:         "Controller of a cluster scheduler",
		Long:          "Runs one controller until it is killed. The platform's settings (TOML) are required;\noperators' own settings (INI) are optional: --ini, or curlewspool.ini beside the platform's file.",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			if err := configureLogging(); err != nil {
				return err
			}
			s, err := loadSettings(config, ini)
			if err != nil {
				return err
			}
			// The Go memory limit is 60% of the platform's limit: the rest is for the program's
			// code, for stacks and for memory that the garbage collector reclaims late.
			debug.SetMemoryLimit(int64(s.Deployment.Limits.RAM * 0.6 * (1 << 20)))
			runtime.GOMAXPROCS(1) // the platform limits a controller to a share of one core
			return controller.Run(s)
		},
	}
	root.PersistentFlags().StringVar(&config, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&ini, "ini", "", "operators' settings file (INI)")
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			s, err := loadSettings(config, ini)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "settings are good: %s in %s, %d controllers, %d teams\n",
				s.Name, s.Zone, len(s.ControllerNames()), len(s.Deployment.Teams))
			return err
		},
	})
	root.AddCommand(&cobra.Command{
		Use: "status ADDRESS", Short: "Ask a running controller what it owns and why jobs wait",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			s, err := controller.FetchState(args[0])
			if err != nil {
				return errors.Join(err, printEventLoopState(command.OutOrStdout(), args[0]))
			}
			return printJSON(command.OutOrStdout(), s)
		},
	})
	return root
}

// printEventLoopState prints what the event loop of a controller is busy with. The controller
// answers this also while it answers nothing else.
func printEventLoopState(out io.Writer, address string) error {
	state, err := controller.FetchEventLoopState(address)
	if err != nil {
		return nil // the error of the first request says as much
	}
	return printJSON(out, state)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// loadSettings loads the settings from both files and logs their warnings.
func loadSettings(config, ini string) (*settings.Settings, error) {
	if config == "" {
		return nil, fmt.Errorf("--config FILE is required")
	}
	loaded, err := settings.Load(config, ini)
	if err != nil {
		return nil, err
	}
	for _, warning := range loaded.Warnings() {
		slog.Warn("settings: " + warning)
	}
	return loaded, nil
}

// configureLogging sets the log level from the environment variable LOG_LEVEL.
func configureLogging() error {
	level := slog.LevelInfo
	switch value := os.Getenv("LOG_LEVEL"); value {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return fmt.Errorf("LOG_LEVEL is %q, must be error, info or debug", value)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}
