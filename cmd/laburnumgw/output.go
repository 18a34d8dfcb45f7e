package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// outputLines is the number of lines that wait for a slow reader.
	outputLines = 2000
	// outputEvery is the pause between two looks at the lines that wait.
	outputEvery = 50 * time.Millisecond
)

// newOutput returns a writer that never waits for its reader. What a reader
// is too slow for is dropped, and the number of dropped lines is written.
func newOutput(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, outputLines, outputEvery, func(missed int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"output: lines dropped\"}\n", missed)
	})
}
