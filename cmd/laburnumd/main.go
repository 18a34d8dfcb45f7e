// Command laburnumd runs one node of the serving layer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/node"
)

const exitUsage = 2

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var s node.Settings
	rest, err := flags.NewParser(&s, flags.HelpFlag).ParseArgs(args)
	if err != nil {
		return reportParseError(err)
	}
	bad := s.Validate()
	if len(rest) > 0 {
		bad = append(bad, "unexpected arguments: "+strings.Join(rest, " "))
	}
	if len(bad) > 0 {
		fmt.Fprintln(os.Stderr, "laburnumd: bad settings:\n  "+strings.Join(bad, "\n  "))
		return exitUsage
	}
	return serve(s)
}

// reportParseError prints the help if it was requested, and otherwise the error.
// It returns the exit code.
func reportParseError(err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "laburnumd:", err)
	return exitUsage
}

// serve runs the node until it is stopped and returns the exit code.
func serve(s node.Settings) int {
	level, _ := zerolog.ParseLevel(s.LogLevel)
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("node", string(s.Name)).Logger()
	// Signals after the first one have no effect: the node always finishes the
	// requests in flight.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	n := &node.Node{Settings: s, Logger: logger}
	if err := n.Listen(); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumd:", err)
		return 1
	}
	if err := n.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("node: stopped because of an error")
		return 1
	}
	return 0
}
