package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"curlewspool/internal/controller"
	"curlewspool/internal/federation"
	"curlewspool/internal/tracing"
)

// standardOutput is the value of --file that selects standard output.
const standardOutput = "-"

// traceOptions holds the flags of curlewctl trace; exactly one of them must be set.
type traceOptions struct {
	file     string
	endpoint string // URL of an OTLP collector
}

// traceCommand makes the command that exports traces of remote leases.
func traceCommand() *cobra.Command {
	options := &traceOptions{}
	command := &cobra.Command{
		Use:   "trace HOST:PORT...",
		Short: "Export traces of the remote leases between partner clusters",
		Long: "Fetches the recent events of remote leases from controllers (their api_addr; give those of both clusters\n" +
			"for complete traces) and exports one trace for each lease, as lines of JSON to a file or to a collector\n" +
			"by OTLP over HTTP.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error { return options.run(command, addresses) },
	}
	command.Flags().StringVar(&options.file, "file", "", "write lines of JSON to this file; - for standard output")
	command.Flags().StringVar(&options.endpoint, "otlp", "", "send to the collector at this URL, such as http://127.0.0.1:4318/v1/traces")
	return command
}

// run fetches the events and exports them as traces.
func (o *traceOptions) run(command *cobra.Command, addresses []string) error {
	if (o.file == "") == (o.endpoint == "") {
		return errors.New("give --file FILE (- for standard output) or --otlp URL")
	}
	events, err := fetchEvents(command, addresses)
	if err != nil {
		return err
	}
	exporter, closeFile, err := o.newExporter(command.Context(), command.OutOrStdout())
	if err != nil {
		return err
	}
	defer closeFile()
	traces, err := tracing.Export(command.Context(), events, exporter)
	if err != nil {
		return err
	}
	command.PrintErrf("%d remote leases, %d events\n", traces, len(events))
	return exporter.Shutdown(command.Context())
}

// fetchEvents returns the events that the controllers keep. A controller that does not answer is
// reported on stderr, and the events of the others are still returned. If no controller answers,
// fetchEvents returns an error.
func fetchEvents(command *cobra.Command, addresses []string) ([]federation.Event, error) {
	var events []federation.Event
	failed := 0
	for _, address := range addresses {
		state, err := controller.FetchState(address)
		if err != nil {
			failed++
			if failed == len(addresses) {
				return nil, err
			}
			command.PrintErrln(err)
			continue
		}
		if state.Federation != nil {
			events = append(events, state.Federation.Events...)
		}
	}
	return events, nil
}

// newExporter makes the exporter that the flags select. The caller must call closeFile after it has
// shut the exporter down.
func (o *traceOptions) newExporter(ctx context.Context, stdout io.Writer) (exporter sdk.SpanExporter, closeFile func(), err error) {
	closeFile = func() {}
	if o.endpoint != "" {
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.endpoint))
		return exporter, closeFile, err
	}
	out := stdout
	if o.file != standardOutput {
		file, err := os.Create(o.file)
		if err != nil {
			return nil, nil, err
		}
		closeFile = func() { _ = file.Close() } // the exporter reports failed writes
		out = file
	}
	exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	return exporter, closeFile, err
}
