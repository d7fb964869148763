package devcluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
)

// programName is the file name of the controller's executable.
const programName = "curlewspool"

// Program returns the path of the controller's executable. If named is set, this is the executable
// named, found as exec.LookPath does. Otherwise it is curlewspool in the folder of the running
// executable. If that does not exist, Program builds curlewspool into folder, from the source tree that
// the running executable was built from.
func Program(named, folder string, logf func(string, ...any)) (string, error) {
	if named != "" {
		return exec.LookPath(named)
	}
	if own, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(own), programName)
		if info, err := os.Stat(sibling); err == nil && !info.IsDir() {
			return sibling, nil
		}
	}
	root, err := sourceRoot()
	if err != nil {
		return "", err
	}
	program, err := filepath.Abs(filepath.Join(folder, programName))
	if err != nil {
		return "", err
	}
	logf("building the controller")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "./cmd/curlewspool")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("cannot build the controller: %s", strings.TrimSpace(string(output)))
	}
	return program, nil
}

// sourceRoot returns the root of the module from which this program was built, if it still exists.
// It relies on the folder of this file being two levels below the root.
func sourceRoot() (string, error) {
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Dir(filepath.Dir(filepath.Dir(file)))
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		return "", errors.New("the controller's program is not in the folder of this one: set --program")
	}
	return root, nil
}
