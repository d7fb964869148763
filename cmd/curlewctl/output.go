package main

import (
	"bytes"
	"encoding/json"
	"io"
)

// show prints a value as JSON, or the text that describe writes for people.
func show(out io.Writer, asJSON bool, value any, describe func(text *bytes.Buffer)) error {
	if !asJSON {
		var text bytes.Buffer
		describe(&text)
		_, err := text.WriteTo(out)
		return err
	}
	return showJSON(out, value)
}

// showJSON prints a value as indented JSON.
func showJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
