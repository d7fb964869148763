//go:build !linux

package devcluster

import "os/exec"

// bindToParent does nothing: only Linux can end a child with its parent.
func bindToParent(*exec.Cmd) {}
