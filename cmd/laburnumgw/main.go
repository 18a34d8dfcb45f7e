// Command laburnumgw runs a gateway node that takes its settings and its
// configuration from the users' platform.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/node/edge"
	"laburnumstack.org/laburnum/internal/trans/links"
	"laburnumstack.org/laburnum/platform"
	"laburnumstack.org/laburnum/platform/wire"
)

const exitUsage = 2

// options are the settings that aren't in the platform's settings file.
type options struct {
	LogLevel    string `long:"log-level" env:"LABURNUM_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of log lines"`
	GCPercent   int    `long:"gc-percent" env:"LABURNUM_GC_PERCENT" default:"100" description:"heap growth in percent that triggers a garbage collection, as GOGC"`
	MetricsPort int    `long:"metrics-port" env:"LABURNUM_METRICS_PORT" default:"0" description:"port for the metrics on the host of the readiness address; 0 disables them"`
	Settings    string `long:"settings" description:"path of the platform's settings file; by default the value of the platform's environment variable"`
}

// signals holds the context and the channel through which the program is notified
// of signals.
type signals struct {
	// stop is cancelled by SIGTERM and SIGINT.
	stop context.Context
	// reload receives SIGHUP.
	reload chan os.Signal
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// catchSignals starts to handle signals. It must be called before all else in
// run, because an unhandled signal terminates the program. release ends the
// handling of SIGTERM and SIGINT.
func catchSignals() (s signals, release func()) {
	s.reload = make(chan os.Signal, 1)
	signal.Notify(s.reload, syscall.SIGHUP)
	s.stop, release = signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return s, release
}

func run(args []string) int {
	sig, release := catchSignals()
	defer release()
	var o options
	rest, err := flags.NewParser(&o, flags.HelpFlag).ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Println(fe.Message)
		return 0
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected arguments: %v", rest)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "laburnumgw:", err)
		return exitUsage
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(wire.SettingsVariable)
	}
	s, err := platform.ReadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "laburnumgw: bad settings:")
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return serve(sig, o, s)
}

// serve runs the node until it is stopped and returns the exit code.
func serve(sig signals, o options, s platform.Settings) int {
	debug.SetGCPercent(o.GCPercent)
	level, _ := zerolog.ParseLevel(o.LogLevel)
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	out := newNonBlockingWriter(os.Stdout)
	defer out.Close()
	logger := zerolog.New(out).Level(level).With().Timestamp().Str("node", string(s.Node.Name)).Logger()
	go watchSettings(sig.stop, sig.reload, o.Settings, s, logger)
	if o.MetricsPort > 0 {
		host, _, _ := net.SplitHostPort(s.Node.ReadyAddress)
		s.Node.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(o.MetricsPort))
	}
	engines := &platform.EngineClient{}
	n := &edge.Node{
		Settings: s.Node, Source: platform.NewStore(s.StoreAddress), Decoder: platform.Decoder{},
		DecodeCatalog: platform.DecodeCatalog, Dialect: platform.Dialect{}, Reserver: engines, Reporter: engines, ReadyPath: wire.ReadyPath, Logger: logger,
		UseDialer: func(dial links.DialFunc) { engines.UseDialer(dial) },
	}
	if err := n.Run(sig.stop); err != nil {
		logger.Error().Err(err).Msg("node: stopped because of an error")
		return 1
	}
	return 0
}
