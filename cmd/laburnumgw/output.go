package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// maxBufferedLines is the maximum number of lines buffered for a slow reader.
	maxBufferedLines = 2000
	// pollInterval is the time between two checks for buffered lines.
	pollInterval = 50 * time.Millisecond
)

// newNonBlockingWriter returns a writer that buffers lines and never blocks. If
// the reader of w is too slow, lines are dropped, and their number is written to
// w.
func newNonBlockingWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, maxBufferedLines, pollInterval, func(dropped int) {
		fmt.Fprintf(w, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"output: lines dropped\"}\n", dropped)
	})
}
