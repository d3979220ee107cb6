package process

import (
	"context"
	"os"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/settings"
)

// Reload holds the path of the settings file and the channel of the signals that
// request a reload.
type Reload struct {
	Path    string
	Signals <-chan os.Signal
}

// watchReloads reloads the settings at each signal. Only the addresses of the
// replicas are applied; every other change needs a restart. Invalid settings
// change nothing.
func watchReloads(lc fx.Lifecycle, reload Reload, process *settings.Process, replicas *rpc.Replicas, logger *log.Logger) {
	stop := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-reload.Signals:
						reloadSettings(reload.Path, process, replicas, logger)
					}
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error { close(stop); return nil },
	})
}

func reloadSettings(path string, process *settings.Process, replicas *rpc.Replicas, logger *log.Logger) {
	next, err := settings.Load(path)
	if err != nil {
		logger.Error().Str("step", "reload").Str("file", path).Err(err).Msg("invalid settings; keeping the current ones")
		return
	}
	if next.Name != process.Name || next.Listen != process.Listen {
		logger.Warn().Str("step", "reload").Str("file", path).Msg("a change of the name or the listen addresses needs a restart")
	}
	replicas.SetSeeds(replicaAddresses(next))
	logger.Info().Str("step", "reload").Str("file", path).Strs("replicas", replicaAddresses(next)).Msg("settings reloaded")
}
