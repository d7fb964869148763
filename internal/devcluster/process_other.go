//go:build !linux

package devcluster

import "os/exec"

// bindToParent does nothing: only Linux can kill a child when its parent ends.
func bindToParent(*exec.Cmd) {}
