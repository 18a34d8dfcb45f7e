package main

import (
	"context"
	"os"
	"reflect"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/platform"
)

// watchSettings reads the settings file again on each signal, and logs whether
// the settings are valid and differ from the current ones. It doesn't apply
// them: a node's addresses can't change while it runs, and everything else
// comes from the store.
func watchSettings(ctx context.Context, hup <-chan os.Signal, path string, current platform.Settings, logger zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		read, err := platform.ReadSettings(path)
		if err != nil {
			logger.Error().Err(err).Msg("node: settings can't be read or are invalid, the current ones stay in force")
			continue
		}
		read.Node.MetricsAddress = current.Node.MetricsAddress
		logger.Info().Bool("changed", !reflect.DeepEqual(read, current)).Msg("node: settings read again, changes apply from the next start")
	}
}
