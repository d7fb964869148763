package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/common/expfmt"
	"github.com/spf13/cobra"

	"curlewspool/internal/controller"
	"curlewspool/internal/federation"
)

// Limits of the HTTP server of --listen.
const (
	maxConcurrentScrapes = 2
	scrapeTimeout        = 10 * time.Second
	readHeaderTimeout    = 5 * time.Second
)

// metricsCommand makes the command that exports metrics of controllers.
func metricsCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "metrics HOST:PORT...",
		Short: "Export metrics of controllers for Prometheus: print them once or, with --listen, serve them",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error {
			registry := prometheus.NewRegistry()
			if err := registry.Register(&collector{addresses}); err != nil {
				return err
			}
			if listen == "" {
				return printMetrics(command.OutOrStdout(), registry)
			}
			return serveMetrics(command, listen, registry)
		},
	}
	command.Flags().StringVar(&listen, "listen", "", "serve /metrics at this HOST:PORT until Ctrl-C, instead of printing")
	return command
}

// printMetrics gathers all metrics once and prints them in the Prometheus text format.
func printMetrics(out io.Writer, registry *prometheus.Registry) error {
	families, err := registry.Gather()
	if err != nil {
		return err
	}
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(out, family); err != nil {
			return err
		}
	}
	return nil
}

// serveMetrics serves /metrics until an interrupt.
func serveMetrics(command *cobra.Command, address string, registry *prometheus.Registry) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	command.PrintErrf("http://%s/metrics until Ctrl-C\n", listener.Addr())
	options := promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: scrapeTimeout}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, options))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
	defer stop()
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background()) // Serve returns even if Shutdown fails
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// newDesc returns the description of a metric. The first label of each metric is the address of the
// controller; labels lists the names of the metric's other labels.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("curlewspool_"+name, help, append([]string{"controller"}, labels...), nil)
}

// readyDesc describes the only metric that is also sent for controllers that do not answer at all.
var readyDesc = newDesc("ready", "1 if the controller is ready")

// gauges lists the metrics that have a single value. The function value computes this value from a
// controller's state. labels holds the values of the metric's labels, without the controller's address.
var gauges = []struct {
	desc   *prometheus.Desc
	value  func(state *controller.State) float64
	labels []string
}{
	{desc: liveJobsDesc, value: func(s *controller.State) float64 { return float64(s.Jobs) }},
	{desc: machinesDesc, value: func(s *controller.State) float64 { return float64(s.Machines) }},
	{desc: waitingJobsDesc, value: func(s *controller.State) float64 { return float64(len(s.WaitingJobs)) }},
	{desc: unreachableDesc, value: unreachableMachines},
	{desc: unresponsiveDesc, value: unresponsiveMachines},
	{desc: isolatedDesc, value: isolated},
	{desc: peakLoadDesc, value: func(s *controller.State) float64 { return s.PeakLoad.StoreRequests }, labels: []string{"state_requests"}},
	{desc: peakLoadDesc, value: func(s *controller.State) float64 { return s.PeakLoad.StoreMutations }, labels: []string{"state_changes"}},
	{desc: peakLoadDesc, value: func(s *controller.State) float64 { return s.PeakLoad.CloudCalls }, labels: []string{"cloud_calls"}},
	{desc: dependentJobsDesc, value: func(s *controller.State) float64 { return float64(s.Dependencies.Waiting) }, labels: []string{"waiting"}},
	{desc: dependentJobsDesc, value: func(s *controller.State) float64 { return float64(s.Dependencies.Released) }, labels: []string{"released"}},
	{desc: dependentJobsDesc, value: func(s *controller.State) float64 { return float64(s.Dependencies.CancelledWithDependency) }, labels: []string{"cascaded"}},
}

// The names and labels of the metrics must not change: operators' dashboards use them.
var (
	liveJobsDesc      = newDesc("live_jobs", "Unfinished jobs")
	machinesDesc      = newDesc("machines", "Machines that the controller knows")
	waitingJobsDesc   = newDesc("waiting_jobs", "Queued jobs in the shards that the controller owns")
	unreachableDesc   = newDesc("deaf_machines", "Machines of its shards whose reports arrive but which it cannot reach (inbound partition)")
	unresponsiveDesc  = newDesc("unanswered_machines", "Machines of its shards that have not answered this controller")
	isolatedDesc      = newDesc("isolated", "1 if the controller reaches neither the key-value store nor another controller")
	peakLoadDesc      = newDesc("busiest_per_second", "Mean requests per second of the controller in its busiest ten seconds since the process started", "of")
	dependentJobsDesc = newDesc("dependent_jobs",
		"Jobs with dependencies: waiting now; released by this process; cancelled by it because a dependency was cancelled", "state")
	submissionDesc = newDesc("submission_seconds", "Latency of the submissions accepted since the process started, by stage", "part")
	costDesc       = newDesc("spent", "Cost of machines that the controller owned since the process started, by cause, in the catalog's currency", "cause")

	queuedCommandsDesc    = newDesc("event_loop_queued", "Commands that wait for the controller's event loop")
	runningSecondsDesc    = newDesc("event_loop_running_seconds", "For how long the event loop has run its current command", "command")
	commandCountDesc      = newDesc("event_loop_commands_total", "Commands that the event loop has run since the process started", "command")
	commandSecondsDesc    = newDesc("event_loop_command_seconds_total", "Time that the event loop has spent on commands since the process started", "command")
	commandMaxSecondsDesc = newDesc("event_loop_command_max_seconds", "Longest command since the process started", "command")

	remoteChunksDesc     = newDesc("federation_away", "Chunks offloaded to partner clusters", "partner")
	hostedLeasesDesc     = newDesc("federation_borrowed", "Remote leases under which this cluster runs chunks of partner clusters")
	federationEventsDesc = newDesc("federation_events_total", "Remote leases by outcome, counted since the process started", "what")
)

// unreachableMachines counts the unreachable machines of the controller's shards.
func unreachableMachines(state *controller.State) float64 {
	count := 0
	for _, shard := range state.Shards {
		count += len(shard.Unreachable)
	}
	return float64(count)
}

// unresponsiveMachines counts the machines of the controller's shards that have not answered it.
func unresponsiveMachines(state *controller.State) float64 {
	count := 0
	for _, shard := range state.Shards {
		count += shard.Unresponsive
	}
	return float64(count)
}

// isolated returns 1 if the controller reaches neither the key-value store nor another controller,
// otherwise 0.
func isolated(state *controller.State) float64 {
	if state.Isolated {
		return 1
	}
	return 0
}

// collector is a prometheus.Collector. Each collection fetches the state of every controller.
type collector struct{ addresses []string }

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		readyDesc, liveJobsDesc, machinesDesc, waitingJobsDesc, unreachableDesc, unresponsiveDesc, isolatedDesc,
		submissionDesc, costDesc, peakLoadDesc, dependentJobsDesc, remoteChunksDesc, hostedLeasesDesc, federationEventsDesc,
		queuedCommandsDesc, runningSecondsDesc, commandCountDesc, commandSecondsDesc, commandMaxSecondsDesc,
	} {
		descs <- desc
	}
}

// Collect sends the metrics of all controllers. For a controller whose event loop does not answer it
// sends only readyDesc, with the value 0, and the metrics of the event loop.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	for _, address := range c.addresses {
		if loop, err := controller.FetchEventLoopState(address); err == nil {
			collectEventLoop(metrics, address, loop)
		}
		state, err := controller.FetchState(address)
		if err != nil || !state.Ready {
			sendGauge(metrics, readyDesc, 0, address)
		} else {
			sendGauge(metrics, readyDesc, 1, address)
		}
		if err != nil {
			continue
		}
		collectState(metrics, address, state)
		if state.Federation != nil {
			collectFederation(metrics, address, state.Federation)
		}
	}
}

// sendGauge sends one gauge. The first label is the controller's address.
func sendGauge(metrics chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

// sendCounter sends one counter. The first label is the controller's address.
func sendCounter(metrics chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	metrics <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, labels...)
}

// collectState sends the metrics of a controller that answered, except for readyDesc and the metrics of
// remote leases.
func collectState(metrics chan<- prometheus.Metric, address string, state *controller.State) {
	for _, gauge := range gauges {
		sendGauge(metrics, gauge.desc, gauge.value(state), append([]string{address}, gauge.labels...)...)
	}
	for stage, latencies := range state.SubmitTimes.ByStage() {
		cumulative, count := latencies.Buckets()
		metrics <- prometheus.MustNewConstHistogram(submissionDesc, count, latencies.Sum, cumulative, address, stage)
	}
	for cause, cost := range state.Spent {
		sendCounter(metrics, costDesc, cost, address, string(cause))
	}
}

// collectEventLoop sends the metrics of a controller's event loop.
func collectEventLoop(metrics chan<- prometheus.Metric, address string, loop *controller.EventLoopState) {
	sendGauge(metrics, queuedCommandsDesc, float64(loop.QueuedCommands), address)
	if loop.Running != "" {
		sendGauge(metrics, runningSecondsDesc, loop.RunningSeconds, address, loop.Running)
	}
	for _, command := range loop.Commands {
		sendCounter(metrics, commandCountDesc, float64(command.Count), address, command.Command)
		sendCounter(metrics, commandSecondsDesc, command.TotalSeconds, address, command.Command)
		sendGauge(metrics, commandMaxSecondsDesc, command.MaxSeconds, address, command.Command)
	}
}

// collectFederation sends the metrics of remote leases for a controller whose cluster has partners.
func collectFederation(metrics chan<- prometheus.Metric, address string, view *federation.View) {
	chunksByPartner := map[string]int{}
	for _, chunk := range view.Lent {
		chunksByPartner[chunk.To]++
	}
	for partner, chunks := range chunksByPartner {
		sendGauge(metrics, remoteChunksDesc, float64(chunks), address, partner)
	}
	sendGauge(metrics, hostedLeasesDesc, float64(len(view.HostedJobs)), address)
	// The struct tag "metric" of a field holds the value of the label for that counter.
	counters := reflect.ValueOf(view.Counters)
	for i := range counters.NumField() {
		outcome := counters.Type().Field(i).Tag.Get("metric")
		sendCounter(metrics, federationEventsDesc, float64(counters.Field(i).Int()), address, outcome)
	}
}
