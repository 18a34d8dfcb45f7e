package main

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestExitCodes(t *testing.T) {
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

// buildProgram builds laburnumgw and returns the path of the executable.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "laburnumgw")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return path
}

func TestSIGHUPDuringStartDoesNotTerminate(t *testing.T) {
	// The settings file is a named pipe, so that the program is still starting,
	// blocked on reading it, when it receives the signal.
	pipe := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(buildProgram(t), "--settings", pipe)
	must.NoError(t, cmd.Start())
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	must.NoError(t, err)
	must.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	_, err = w.WriteString("node_name: 1\n")
	must.NoError(t, err)
	must.NoError(t, w.Close())
	var exit *exec.ExitError
	must.True(t, errors.As(cmd.Wait(), &exit))
	test.Eq(t, exitUsage, exit.ExitCode(), test.Sprint(exit.String()))
}

func TestLogNeverBlocksOnSlowReader(t *testing.T) {
	// A pipe buffers 64 KiB on Linux, and nothing reads it until all lines are
	// logged.
	r, w, err := os.Pipe()
	must.NoError(t, err)
	out := newNonBlockingWriter(w)
	logger := zerolog.New(out)
	line := strings.Repeat("x", 1000)
	for range 3 * maxBufferedLines {
		logger.Info().Msg(line)
	}
	go io.Copy(io.Discard, r)
	test.NoError(t, out.Close())
}
