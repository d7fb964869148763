//go:build !linux

package dev

import "os/exec"

func own(*exec.Cmd) {}
