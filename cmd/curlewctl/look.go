package main

import (
	"context"
	"errors"
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
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"curlewspool/internal/controller"
	"curlewspool/internal/federation"
	"curlewspool/internal/tracing"
)

func traceCommand() *cobra.Command {
	var file, otlp string
	c := &cobra.Command{
		Use: "trace HOST:PORT...", Short: "Hand-overs to and from partners as traces, from what controllers tell",
		Long: "Asks the controllers named (api_addr; those of both clusters give whole traces) for the steps that they\n" +
			"remember, and writes one trace a loan: to a file as lines of JSON, or to a collector by OTLP over HTTP.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, addrs []string) error {
			if (file == "") == (otlp == "") {
				return errors.New("give --file FILE (- for standard output) or --otlp URL")
			}
			var events []federation.Event
			silent := 0
			for _, a := range addrs {
				s, err := controller.FetchState(a)
				if err != nil { // what the others tell is worth having
					if silent++; silent == len(addrs) {
						return err
					}
					c.PrintErrln(err)
					continue
				}
				if s.Federation != nil {
					events = append(events, s.Federation.Events...)
				}
			}
			var to sdk.SpanExporter
			var err error
			if otlp != "" {
				to, err = otlptracehttp.New(c.Context(), otlptracehttp.WithEndpointURL(otlp))
			} else {
				out := c.OutOrStdout()
				if file != "-" {
					f, err := os.Create(file)
					if err != nil {
						return err
					}
					defer func() { _ = f.Close() }() // the exporter reports failed writes
					out = f
				}
				to, err = stdouttrace.New(stdouttrace.WithWriter(out))
			}
			if err != nil {
				return err
			}
			n, err := tracing.Export(c.Context(), events, to)
			if err != nil {
				return err
			}
			c.PrintErrf("%d hand-overs, %d steps\n", n, len(events))
			return to.Shutdown(c.Context())
		},
	}
	c.Flags().StringVar(&file, "file", "", "write lines of JSON to this file; - for standard output")
	c.Flags().StringVar(&otlp, "otlp", "", "send to a collector, such as http://127.0.0.1:4318/v1/traces")
	return c
}

// collector asks controllers whenever it is asked itself.
type collector struct{ addrs []string }

var (
	upDesc      = prometheus.NewDesc("curlewspool_ready", "1 if the controller can act", []string{"controller"}, nil)
	liveDesc    = prometheus.NewDesc("curlewspool_live_jobs", "Jobs that are not over", []string{"controller"}, nil)
	machineDesc = prometheus.NewDesc("curlewspool_machines", "Machines known", []string{"controller"}, nil)
	waitingDesc = prometheus.NewDesc("curlewspool_waiting_jobs", "Jobs of its parts that wait", []string{"controller"}, nil)
	deafDesc    = prometheus.NewDesc("curlewspool_deaf_machines", "Machines of its parts that report and hear nothing", []string{"controller"}, nil)
	silentDesc  = prometheus.NewDesc("curlewspool_unanswered_machines", "Machines of its parts that have not answered this owner", []string{"controller"}, nil)
	aloneDesc   = prometheus.NewDesc("curlewspool_isolated", "1 if it hears neither the state service nor another controller", []string{"controller"}, nil)
	dependDesc  = prometheus.NewDesc("curlewspool_dependent_jobs", "Jobs that need others: waiting now; released, and withdrawn with one that they needed, by this process", []string{"controller", "state"}, nil)
	awayDesc    = prometheus.NewDesc("curlewspool_federation_away", "Chunks that are at partners", []string{"controller", "partner"}, nil)
	borrowDesc  = prometheus.NewDesc("curlewspool_federation_borrowed", "Loans that are here", []string{"controller"}, nil)
	submitDesc  = prometheus.NewDesc("curlewspool_submission_seconds", "Accepted submissions, by where their time went, since the process began", []string{"controller", "part"}, nil)
	spentDesc   = prometheus.NewDesc("curlewspool_spent", "What machines cost since the controller began, of what it owned, by cause, in the catalog's unit of money", []string{"controller", "cause"}, nil)
	busyDesc    = prometheus.NewDesc("curlewspool_busiest_per_second", "What the controller asked in its busiest ten seconds since it began, as a mean of a second", []string{"controller", "of"}, nil)
	loanDesc    = prometheus.NewDesc("curlewspool_federation_events_total", "Loans by what became of them, as counted by this process", []string{"controller", "what"}, nil)
)

func (k *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{upDesc, liveDesc, machineDesc, waitingDesc, deafDesc, silentDesc, aloneDesc, submitDesc, spentDesc, busyDesc, dependDesc, awayDesc, borrowDesc, loanDesc} {
		ch <- d
	}
}

func (k *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for _, a := range k.addrs {
		s, err := controller.FetchState(a)
		if err != nil || !s.Ready {
			gauge(upDesc, 0, a)
		} else {
			gauge(upDesc, 1, a)
		}
		if err != nil {
			continue
		}
		gauge(liveDesc, float64(s.Jobs), a)
		gauge(machineDesc, float64(s.Machines), a)
		gauge(waitingDesc, float64(len(s.WaitingJobs)), a)
		deaf, silent, alone := 0, 0, 0.0
		for _, p := range s.Shards {
			deaf, silent = deaf+len(p.Unreachable), silent+p.Unresponsive
		}
		if s.Isolated {
			alone = 1
		}
		gauge(deafDesc, float64(deaf), a)
		gauge(silentDesc, float64(silent), a)
		gauge(aloneDesc, alone, a)
		for name, h := range s.SubmitTimes.ByStage() {
			upTo, all := h.Buckets()
			ch <- prometheus.MustNewConstHistogram(submitDesc, all, h.Sum, upTo, a, name)
		}
		for cause, v := range s.Spent {
			ch <- prometheus.MustNewConstMetric(spentDesc, prometheus.CounterValue, v, a, string(cause))
		}
		gauge(busyDesc, s.PeakLoad.StoreRequests, a, "state_requests")
		gauge(busyDesc, s.PeakLoad.StoreMutations, a, "state_changes")
		gauge(busyDesc, s.PeakLoad.CloudCalls, a, "cloud_calls")
		gauge(dependDesc, float64(s.Dependencies.Waiting), a, "waiting")
		gauge(dependDesc, float64(s.Dependencies.Released), a, "released")
		gauge(dependDesc, float64(s.Dependencies.Cascaded), a, "cascaded")
		f := s.Federation
		if f == nil {
			continue
		}
		away := map[string]int{}
		for _, x := range f.Lent {
			away[x.To]++
		}
		for p, n := range away {
			gauge(awayDesc, float64(n), a, p)
		}
		gauge(borrowDesc, float64(len(f.Borrowed)), a)
		v := reflect.ValueOf(f.Counters)
		for i := range v.NumField() {
			ch <- prometheus.MustNewConstMetric(loanDesc, prometheus.CounterValue, float64(v.Field(i).Int()), a, v.Type().Field(i).Tag.Get("metric"))
		}
	}
}

func metricsCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use: "metrics HOST:PORT...", Short: "Figures of controllers for Prometheus: once, or served with --listen",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, addrs []string) error {
			reg := prometheus.NewRegistry()
			if err := reg.Register(&collector{addrs}); err != nil {
				return err
			}
			if listen == "" {
				families, err := reg.Gather()
				if err != nil {
					return err
				}
				for _, f := range families {
					if _, err := expfmt.MetricFamilyToText(c.OutOrStdout(), f); err != nil {
						return err
					}
				}
				return nil
			}
			ln, err := net.Listen("tcp4", listen)
			if err != nil {
				return err
			}
			c.PrintErrf("http://%s/metrics until Ctrl-C\n", ln.Addr())
			mux := http.NewServeMux()
			mux.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: 10 * time.Second}))
			srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
			ctx, done := signal.NotifyContext(c.Context(), os.Interrupt)
			defer done()
			go func() {
				<-ctx.Done()
				_ = srv.Shutdown(context.Background())
			}()
			if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "", "serve /metrics at this address instead")
	return c
}
