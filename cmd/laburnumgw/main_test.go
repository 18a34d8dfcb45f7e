package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestBadSettingsExitWithUsage(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	must.NoError(t, os.WriteFile(bad, []byte("node_name: 1\nlisten: x\n"), 0o600))
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"no settings", nil, exitUsage},
		{"missing file", []string{"--settings", "/does/not/exist"}, exitUsage},
		{"bad file", []string{"--settings", bad}, exitUsage},
		{"unknown flag", []string{"--nmae", "a"}, exitUsage},
		{"bad level", []string{"--log-level", "loud"}, exitUsage},
		{"unexpected argument", []string{"more"}, exitUsage},
		{"help", []string{"--help"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			test.Eq(t, c.code, run(c.args))
		})
	}
}

func TestLogNeverWaitsForItsReader(t *testing.T) {
	// The pipe is full after 64 KiB and nobody reads it.
	r, w, err := os.Pipe()
	must.NoError(t, err)
	out := newOutput(w)
	logger := zerolog.New(out)
	line := strings.Repeat("x", 1000)
	for range 3 * outputLines {
		logger.Info().Msg(line)
	}
	go io.Copy(io.Discard, r)
	test.NoError(t, out.Close())
}
