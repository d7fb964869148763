package devcluster

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Kill describes the kill of a controller, or of all controllers of a cluster.
type Kill struct {
	Cluster      string        // "": the only cluster
	Controller   string        // "": all controllers of the cluster
	At           time.Duration // time from Start to the kill
	RestartAfter time.Duration // time from the kill to the restart; 0: no restart
}

// ParseKill parses [CLUSTER/]HOST@TIME[+TIME], or CLUSTER/@TIME[+TIME] for all controllers of a
// cluster, such as n1@20s, east/n0@20s+5s or east/@30s.
func ParseKill(text string) (Kill, error) {
	invalid := fmt.Errorf("--kill %q: must be [CLUSTER/][HOST]@TIME[+TIME], such as n1@20s or east/@30s+10s", text)
	target, times, ok := strings.Cut(text, "@")
	if !ok || target == "" {
		return Kill{}, invalid
	}
	kill := Kill{Controller: target}
	if cluster, host, ok := strings.Cut(target, "/"); ok {
		kill.Cluster, kill.Controller = cluster, host
	}
	at, back, hasBack := strings.Cut(times, "+")
	var err error
	if kill.At, err = time.ParseDuration(at); err != nil || kill.At < 0 {
		return kill, invalid
	}
	if hasBack {
		if kill.RestartAfter, err = time.ParseDuration(back); err != nil || kill.RestartAfter <= 0 {
			return kill, invalid
		}
	}
	return kill, nil
}

// scheduleKill executes a kill in the background when it is due. It returns an error if the kill
// selects no controller.
func (e *Environment) scheduleKill(ctx context.Context, kill Kill) error {
	targets := e.killTargets(kill)
	if len(targets) == 0 {
		return fmt.Errorf("--kill: there is no controller %q in cluster %q", kill.Controller, kill.Cluster)
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		e.executeKill(ctx, kill, targets)
	}()
	return nil
}

// killTargets returns the processes of the controllers that a kill selects.
func (e *Environment) killTargets(kill Kill) []*controllerProcess {
	var targets []*controllerProcess
	for _, cluster := range e.Clusters {
		if cluster.Name != kill.Cluster {
			continue
		}
		for i, process := range cluster.processes {
			if kill.Controller == "" || cluster.Platform[i].Name == kill.Controller {
				targets = append(targets, process)
			}
		}
	}
	return targets
}

// executeKill kills the targets when the kill is due and, if RestartAfter is set, restarts them
// later. It returns early when the context is done.
func (e *Environment) executeKill(ctx context.Context, kill Kill, targets []*controllerProcess) {
	if !sleep(ctx, kill.At) {
		return
	}
	for _, process := range targets {
		process.kill()
		e.plan.Logf("killed %s", process.name)
	}
	if kill.RestartAfter == 0 || !sleep(ctx, kill.RestartAfter) {
		return
	}
	for _, process := range targets {
		if err := process.restart(e.plan.Program); err != nil {
			e.plan.Logf("%s: %v", process.name, err)
			continue
		}
		e.plan.Logf("restarted %s", process.name)
		e.background.Add(1)
		go e.supervise(process)
	}
}

// sleep waits for a duration. If the context is done first, it returns false.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
