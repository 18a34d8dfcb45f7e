// Command known runs `go test ./...` with its arguments and passes over the
// tests that KNOWN-RED.txt names, and over nothing else that fails.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"

	"github.com/juju/errors"
)

func main() {
	if err := runTests(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runTests returns an error unless all tests passed or are known to fail.
func runTests(args []string) error {
	known, err := os.ReadFile("KNOWN-RED.txt")
	if err != nil {
		return errors.Trace(err)
	}
	cmd := exec.Command("go", append([]string{"test", "-json", "./..."}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Trace(err)
	}
	if err := cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	v, readErr := judge(out, os.Stdout, strings.Split(string(known), "\n"), slices.Contains(args, "-v"))
	err = cmd.Wait()
	if readErr != nil {
		return errors.Annotate(readErr, "output of go test")
	}
	if err == nil && len(v.unexpected) == 0 {
		return nil
	}
	return v.report(err)
}

// report prints the tests that are known to fail, and returns an error unless
// they explain why go test failed.
func (v verdict) report(failure error) error {
	for _, n := range v.known {
		fmt.Println("known red:", n)
	}
	if len(v.unexpected) > 0 {
		return errors.New("failed and not in KNOWN-RED.txt:\n" + strings.Join(v.unexpected, "\n"))
	}
	if len(v.known) == 0 {
		return errors.Annotate(failure, "go test")
	}
	return nil
}
