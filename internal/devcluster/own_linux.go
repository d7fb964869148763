package devcluster

import (
	"os/exec"
	"syscall"
)

// own lets a controller end with this process, however that ends, and keeps
// the terminal's Ctrl-C from it: it is ended in order, by Stop.
func own(c *exec.Cmd) {
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
