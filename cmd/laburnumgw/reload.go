package main

import (
	"context"
	"os"
	"reflect"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/platform"
)

// watchSettings rereads the settings file on each SIGHUP, and logs whether the
// settings are valid and differ from the current ones. It doesn't apply them: a
// node's addresses can't change while it runs, and its configuration comes from
// the store.
func watchSettings(ctx context.Context, hup <-chan os.Signal, path string, current platform.Settings, logger zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		read, err := platform.ReadSettings(path)
		if err != nil {
			logger.Error().Err(err).Msg("node: settings file can't be read or is invalid, keeping the current settings")
			continue
		}
		read.Node.MetricsAddress = current.Node.MetricsAddress
		logger.Info().Bool("changed", !reflect.DeepEqual(read, current)).Msg("node: settings file reread, changes take effect after a restart")
	}
}
