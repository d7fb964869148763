// Package settings reads a controller's settings: the platform's file (TOML) and the
// operators' file (INI), which also lists the partner clusters. It refuses settings under which
// the guarantees of the protocol cannot be kept.
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"gopkg.in/ini.v1"
)

// Settings holds everything that a controller is configured with when it starts.
type Settings struct {
	Platform
	Operators
	Federation *Federation // nil if there are no partner clusters
}

// MaxClockDrift is the fraction by which the rates of two monotonic clocks differ at most (see
// PROTOCOL). The bounds of leases and cancellations assume more: each clock may deviate by this
// fraction from a clock without drift.
const MaxClockDrift = 0.0005

// operatorFileName is the default name of the operators' file. If Load gets no path of this file, it
// looks for the name in the folder of the platform's file.
const operatorFileName = "curlewspool.ini"

// Load reads and checks both files. If iniPath is empty, Load looks for curlewspool.ini in the folder
// of the platform's file; if that file does not exist, the defaults apply. Each error contains the
// name of the file that is invalid.
func Load(path, iniPath string) (*Settings, error) {
	s := &Settings{Operators: Defaults()}
	if err := s.loadPlatform(path); err != nil {
		return nil, err
	}
	isOptional := iniPath == ""
	if isOptional {
		iniPath = filepath.Join(filepath.Dir(path), operatorFileName)
	}
	text, err := os.ReadFile(iniPath)
	if isOptional && errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	if err := s.parseOperators(text, filepath.Dir(iniPath)); err != nil {
		return nil, fmt.Errorf("%s: %w", iniPath, err)
	}
	return s, nil
}

// loadPlatform reads and checks the platform's file.
func (s *Settings) loadPlatform(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := toml.Unmarshal(text, &s.Platform); err != nil {
		var invalid *toml.DecodeError
		if errors.As(err, &invalid) && len(invalid.Key()) > 0 {
			return fmt.Errorf("%s: %s: %w", path, strings.Join(invalid.Key(), "."), err)
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, check := range []func() error{s.Platform.check, s.ApplyNextLimits, s.checkCancelBound} {
		if err := check(); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// parseOperators reads and checks the operators' settings. Relative paths in them are resolved
// against folder.
func (s *Settings) parseOperators(text []byte, folder string) error {
	file, err := ini.Load(text)
	if err != nil {
		return err
	}
	if err := s.read(file); err != nil {
		return err
	}
	return s.readFederation(file, folder)
}
