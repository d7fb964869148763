// Package devcluster runs whole clusters on the loopback interface: controllers as real processes,
// and the simulated key-value store, cloud and machines of internal/simulator in real time. It
// kills only processes that it started, each by its id.
package devcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"curlewspool/internal/simulator"
)

// Files in the folder of a plan.
const (
	// ObservationsFile is the file to which the machines write their observations.
	// internal/historycheck reads it.
	ObservationsFile = "machines.jsonl"
	simulatorLogFile = "standins.log"
)

// Limits of a plan.
const (
	maxControllers = 15
	maxMachines    = 2000
	maxZones       = 8
)

// readyPollInterval is the interval at which Ready checks the clusters.
const readyPollInterval = 100 * time.Millisecond

// Plan describes the clusters to run.
type Plan struct {
	Controllers int // number of controllers in each cluster
	Machines    int // number of machines in each cluster that run from the start
	Rentable    int // number of machines that the cloud can add, for each machine type, zone and kind (on-demand or spot)
	Zones       int
	Clusters    int
	Dir         string // folder of settings, logs and observations
	Program     string // program of the controllers
	// OldProgram, if not "", is a program of another version: all controllers start with it, and
	// those that Kills restart use Program.
	OldProgram string
	LogLevel   string // LOG_LEVEL of the controllers
	Kills      []Kill
	// OperatorSettings, if not nil, returns the operators' settings of a cluster, or "" if it has
	// none. "{listen}" in the settings is replaced with each controller's address for partner
	// clusters.
	OperatorSettings func(cluster *Cluster, all []*Cluster) (string, error)
	// Logf logs a message. Several goroutines call it.
	Logf func(format string, args ...any)
}

// check returns an error if the number of controllers, machines, zones or clusters is out of range.
func (p *Plan) check() error {
	inRange := p.Controllers >= 1 && p.Controllers <= maxControllers &&
		p.Machines >= 0 && p.Machines <= maxMachines &&
		p.Zones >= 1 && p.Zones <= maxZones &&
		p.Clusters >= 1 && p.Clusters <= len(clusterNames)
	if !inRange {
		return fmt.Errorf("out of range: 1 to %d controllers, 0 to %d machines, 1 to %d zones, 1 to %d clusters",
			maxControllers, maxMachines, maxZones, len(clusterNames))
	}
	return nil
}

// clusterNames lists the names that the clusters of a plan get, in order. A single cluster has no
// name.
var clusterNames = []string{"west", "east", "north", "south"}

// Environment is a set of running clusters.
type Environment struct {
	Clusters     []*Cluster
	Network      *simulator.LiveNetwork
	plan         Plan
	observations *os.File
	simulatorLog *os.File
	cancel       context.CancelFunc
	background   sync.WaitGroup // goroutines that Stop waits for
}

// Start starts the clusters of a plan and returns when their processes have been started. The caller
// must call Stop, unless Start returns an error.
func Start(plan Plan) (*Environment, error) {
	if err := plan.check(); err != nil {
		return nil, err
	}
	e := &Environment{plan: plan}
	if err := e.openFiles(); err != nil {
		return nil, err
	}
	ctx := e.startSimulator()
	if err := e.startClusters(ctx); err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

// openFiles creates the folder and, in it, the files that this process writes.
func (e *Environment) openFiles() error {
	if err := os.MkdirAll(e.plan.Dir, 0o755); err != nil {
		return err
	}
	var err error
	if e.observations, err = os.Create(filepath.Join(e.plan.Dir, ObservationsFile)); err != nil {
		return err
	}
	e.simulatorLog, err = os.Create(filepath.Join(e.plan.Dir, simulatorLogFile))
	return err
}

// startSimulator runs the simulated network in the background until Stop. It returns a context that
// Stop cancels.
func (e *Environment) startSimulator() context.Context {
	network, live := simulator.NewLiveNetwork(uint64(time.Now().UnixNano()))
	live.Log = e.simulatorLog
	network.WriteObservations(e.observations)
	e.Network = live
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		live.Run(ctx)
	}()
	return ctx
}

// startClusters prepares all clusters, starts their controllers and schedules the kills.
func (e *Environment) startClusters(ctx context.Context) error {
	for i := range e.plan.Clusters {
		name := ""
		if e.plan.Clusters > 1 {
			name = clusterNames[i]
		}
		cluster, err := e.prepareCluster(name)
		if err != nil {
			return err
		}
		e.Clusters = append(e.Clusters, cluster)
	}
	// A cluster's settings name the addresses of the others, so all must be prepared first.
	for _, cluster := range e.Clusters {
		if err := e.startControllers(cluster); err != nil {
			return err
		}
	}
	for _, kill := range e.plan.Kills {
		if err := e.scheduleKill(ctx, kill); err != nil {
			return err
		}
	}
	return nil
}

// Ready waits until a majority of the controllers of every cluster is healthy. It returns an error if
// the context is done first.
func (e *Environment) Ready(ctx context.Context) error {
	for !e.isReady() {
		if !sleep(ctx, readyPollInterval) {
			return errors.New("the controllers did not become ready in time; see their logs in " + e.plan.Dir)
		}
	}
	return nil
}

// isReady reports whether a majority of the controllers of every cluster is healthy.
func (e *Environment) isReady() bool {
	for _, cluster := range e.Clusters {
		if 2*cluster.Balancer.HealthyControllers() <= len(cluster.Platform) {
			return false
		}
	}
	return true
}

// Stop ends all processes, goroutines and sockets that Start created.
func (e *Environment) Stop() {
	if e.cancel != nil {
		e.cancel()
	}
	for _, cluster := range e.Clusters {
		for _, process := range cluster.processes {
			process.kill()
		}
	}
	e.background.Wait()
	for _, file := range []io.Closer{e.observations, e.simulatorLog} {
		if err := file.Close(); err != nil {
			e.plan.Logf("closing a log: %v", err)
		}
	}
}

// Dir returns the folder of settings, logs and observations.
func (e *Environment) Dir() string { return e.plan.Dir }
