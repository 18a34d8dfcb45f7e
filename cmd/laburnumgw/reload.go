package main

import (
	"context"
	"os"
	"reflect"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/platform"
)

// watchSettings reads the settings again on each signal and tells whether they
// are sound and differ. A node takes them when it starts: its addresses can't
// change while it runs, and all else comes from the store.
func watchSettings(ctx context.Context, hup <-chan os.Signal, path string, s platform.Settings, logger zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		again, err := platform.ReadSettings(path)
		if err != nil {
			logger.Error().Err(err).Msg("node: settings can't be used, those in force stay")
			continue
		}
		again.Node.MetricsAddress = s.Node.MetricsAddress
		logger.Info().Bool("changed", !reflect.DeepEqual(again, s)).Msg("node: settings are read again, changes count from the next start")
	}
}
