package main

import (
	"bytes"
	"encoding/json"
	"io"
)

// printResult prints a value as JSON if asJSON is set, otherwise the text that describe writes.
func printResult(out io.Writer, asJSON bool, value any, describe func(text *bytes.Buffer)) error {
	if !asJSON {
		var text bytes.Buffer
		describe(&text)
		_, err := text.WriteTo(out)
		return err
	}
	return printJSON(out, value)
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
