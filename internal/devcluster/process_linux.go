package devcluster

import (
	"os/exec"
	"syscall"
)

// bindToParent makes the kernel kill a controller when this process ends for any reason. It also puts
// the controller into a process group of its own, so that the terminal's Ctrl-C does not reach it; Stop
// kills it instead.
func bindToParent(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
