package settings

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// sectionReader reads the keys of an INI section and keeps the first error, so that callers
// check for errors only once, with finish.
type sectionReader struct {
	section *ini.Section
	folder  string          // base of relative paths
	read    map[string]bool // keys that callers have read
	err     error
}

// newSectionReader returns a reader of a section. Relative paths are resolved against folder.
func newSectionReader(section *ini.Section, folder string) *sectionReader {
	return &sectionReader{section: section, folder: folder, read: map[string]bool{}}
}

// fail records an error about a key, unless an earlier error is recorded already.
func (r *sectionReader) fail(key, reason string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s", key, reason)
	}
}

// finish returns the first error. A key of the section that no caller has read is an error, too.
func (r *sectionReader) finish() error {
	for _, key := range r.section.Keys() {
		if !r.read[key.Name()] {
			r.fail(key.Name(), "unknown setting")
		}
	}
	return r.err
}

// text returns a key's value, or fallback if the key is not set.
func (r *sectionReader) text(key, fallback string) string {
	r.read[key] = true
	if !r.section.HasKey(key) {
		return fallback
	}
	return strings.TrimSpace(r.section.Key(key).String())
}

// requiredFile returns the path of the file that a key names. It records an error if the key is not
// set.
func (r *sectionReader) requiredFile(key string) string {
	path := r.optionalFile(key)
	if path == "" {
		r.fail(key, "is missing")
	}
	return path
}

// optionalFile returns the path of a file, or "" if the key is not set.
func (r *sectionReader) optionalFile(key string) string {
	path := r.text(key, "")
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(r.folder, path)
}

// list returns the elements of a comma-separated list, without empty ones.
func (r *sectionReader) list(key string) []string {
	var elements []string
	for _, element := range strings.Split(r.text(key, ""), ",") {
		if element = strings.TrimSpace(element); element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

// flag reports whether a key is set to yes. A key that is not set means no.
func (r *sectionReader) flag(key string) bool {
	switch value := r.text(key, "no"); value {
	case "yes":
		return true
	case "no":
	default:
		r.fail(key, strconv.Quote(value)+" must be yes or no")
	}
	return false
}

// number returns a key's value, which must be a number from minimum to maximum, or fallback if the
// key is not set.
func (r *sectionReader) number(key string, fallback, minimum, maximum float64) float64 {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= minimum && number <= maximum) { // the negation also refuses NaN
		r.fail(key, fmt.Sprintf("%q must be a number from %v to %v", text, minimum, maximum))
		return fallback
	}
	return number
}
