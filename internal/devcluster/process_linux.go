package devcluster

import (
	"os/exec"
	"syscall"
)

// bindToParent makes the kernel kill a controller when this process ends, however it
// ends, and keeps the terminal's Ctrl-C from it: Stop ends it in order.
func bindToParent(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
