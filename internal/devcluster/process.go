package devcluster

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	// maxRestarts is the number of times a controller that exits by itself is restarted.
	maxRestarts  = 5
	restartDelay = time.Second
)

// controllerProcess runs a controller as a process. kill ends the process, and restart starts it again,
// possibly with another program.
type controllerProcess struct {
	name    string // name in messages
	args    []string
	logFile string

	mu          sync.Mutex
	program     string
	command     *exec.Cmd
	exited      chan struct{} // closed when the process has exited
	shouldRun   bool          // false after kill: supervise then does not restart the process
	environment []string
}

// start starts the process and appends its output to the log file.
func (p *controllerProcess) start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.mu.Lock()
	program := p.program
	p.mu.Unlock()
	command := exec.Command(program, p.args...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), p.environment...)
	bindToParent(command)
	if err := command.Start(); err != nil {
		_ = log.Close() // the process never ran, so nothing was written
		return fmt.Errorf("cannot start the controller's program: %w", err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
	go func() {
		_ = command.Wait() // supervise handles an unexpected exit
		_ = log.Close()    // the error is ignored: this process writes nothing to the file
		close(exited)
	}()
	return nil
}

// state returns the channel that is closed when the process exits, and whether the process should
// run.
func (p *controllerProcess) state() (exited <-chan struct{}, shouldRun bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited, p.shouldRun
}

// kill kills the process and waits until it has exited. supervise does not restart it.
func (p *controllerProcess) kill() {
	p.mu.Lock()
	p.shouldRun = false
	command, exited := p.command, p.exited
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill() // fails only if the process has exited
	<-exited
}

// restart starts a killed controller again, with the given program.
func (p *controllerProcess) restart(program string) error {
	p.mu.Lock()
	p.shouldRun, p.program = true, program
	p.mu.Unlock()
	return p.start()
}

// supervise restarts a controller that exits by itself, as the platform would. It returns when the
// process was killed, cannot be started, or has been restarted maxRestarts times.
func (e *Environment) supervise(process *controllerProcess) {
	defer e.background.Done()
	for restarts := 0; ; restarts++ {
		exited, shouldRun := process.state()
		if !shouldRun {
			return
		}
		<-exited
		if _, shouldRun := process.state(); !shouldRun {
			return
		}
		if restarts >= maxRestarts {
			e.plan.Logf("%s exits repeatedly and is not restarted: %s", process.name, lastLine(process.logFile))
			return
		}
		e.plan.Logf("%s exited and is restarted: %s", process.name, lastLine(process.logFile))
		time.Sleep(restartDelay)
		if err := process.start(); err != nil {
			e.plan.Logf("%s: %v", process.name, err)
			return
		}
	}
}

// lastLine returns the last line of a file or, if the file cannot be read, the error.
func lastLine(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
