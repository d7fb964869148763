package devcluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewspool/internal/client"
	"curlewspool/internal/historycheck"
	"curlewspool/internal/protocol"
	"curlewspool/internal/simulator"
)

// Two clusters as real processes, more work for west than it holds, and one of
// them ends, or their certificates expire with work out: every job is done, every task finished once, none
// was in two places, as the machines saw it.
func TestTwoClusters(t *testing.T) {
	if testing.Short() {
		t.Skip("some 30 s of real time")
	}
	dir := t.TempDir()
	program, err := Program("", dir, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, kill string
		certs      time.Duration
	}{{"the partner ends for good", "east/@12s", time.Hour}, {"home ends for a while", "west/@9s+6s", time.Hour}, {"certificates expire", "", 14 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := Plan{Controllers: 3, Machines: 4, Zones: 2, Clusters: 2, Dir: t.TempDir(), Program: program, LogLevel: "info", Say: t.Logf}
			if c.kill != "" {
				kill, err := ParseKill(c.kill)
				if err != nil {
					t.Fatal(err)
				}
				p.Kills = []Kill{kill}
			}
			if err := p.Partners(0.8, c.certs); err != nil {
				t.Fatal(err)
			}
			d, err := Start(p)
			if err != nil {
				t.Fatal(err)
			}
			defer d.Stop()
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Second)
			defer cancel()
			if err := d.Ready(ctx); err != nil {
				t.Fatal(err)
			}
			const jobs, tasks = 12, 12
			var wg sync.WaitGroup
			for i := range jobs {
				cl, err := client.New(d.Clusters[0].Address())
				if err != nil {
					t.Fatal(err)
				}
				cl.Pause, cl.Patience = time.Second/2, 2*time.Minute
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := fmt.Sprintf("wk-%d", i)
					_, err := cl.Submit(ctx, simulator.NewSubmission(id, protocol.ShapeArray, tasks, 1, 5, nil))
					s := &protocol.JobState{}
					if err == nil {
						s, err = cl.Wait(ctx, id, nil)
					}
					if err != nil || s.Status != protocol.JobDone {
						t.Errorf("%s: %+v %v", id, s, err)
					}
				}()
			}
			wg.Wait()
			f, err := os.Open(filepath.Join(p.Dir, "machines.jsonl"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = f.Close() }()
			r, err := historycheck.Check(f)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d starts of %d tasks, finished %v, %d again with their result kept", r.Starts, r.Tasks, r.ByCluster, r.ResultsReused)
			for _, x := range r.Violations {
				t.Error(x)
			}
			if r.Finished != jobs*tasks || len(r.Jobs) != jobs || r.ByCluster["east"] == 0 && strings.HasPrefix(c.kill, "west") {
				t.Errorf("%d of %d tasks finished once, of %d jobs, in %v", r.Finished, jobs*tasks, len(r.Jobs), r.ByCluster)
			}
		})
	}
}

// A controller's port stays its own while it is away: CI failed once, and a run beside the
// bench, as a connection of another process had been given it meanwhile.
func TestPortsStayFree(t *testing.T) {
	addrs, err := ports(9)
	if err != nil {
		t.Fatal(err)
	}
	// Whoever else listens, and whoever connects without saying from where.
	others, err := net.Listen("tcp4", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = others.Close() }()
	out, err := net.Dial("tcp4", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	host, _, _ := net.SplitHostPort(addrs[0])
	if from, _, _ := net.SplitHostPort(out.LocalAddr().String()); from == host {
		t.Errorf("a connection comes from %s: it may take a port there", from)
	}
	for _, a := range addrs[1:] {
		_, port, _ := net.SplitHostPort(a)
		taken, err := net.Listen("tcp4", "127.0.0.1:"+port)
		if err == nil {
			defer func() { _ = taken.Close() }()
		}
		l, err := net.Listen("tcp4", a)
		if err != nil {
			t.Errorf("%v, with the port taken at 127.0.0.1", err)
			continue
		}
		_ = l.Close()
	}
}

func TestParseKill(t *testing.T) {
	for s, want := range map[string]string{"n1@20s": "{ n1 20s 0s}", "east/n0@1m+5s": "{east n0 1m0s 5s}", "east/@30s": "{east  30s 0s}",
		"n1": "", "@5s": "", "n1@x": "", "n1@5s+0s": "", "n1@-5s": ""} {
		k, err := ParseKill(s)
		if got := fmt.Sprint(k); (err == nil) != (want != "") || err == nil && got != want {
			t.Errorf("%q reads as %q %v, want %q", s, got, err, want)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: more than one line", s)
		}
	}
}
