package server

import (
	"errors"
	"os"
	"slices"
	"syscall"

	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

var (
	eventReloaded = logger.Define(1015, logger.LevelInfo, "settings_reloaded",
		"The settings file was reloaded. Changed seeds take effect at once; other changes at the next start.")
	eventNotReloaded = logger.Define(1016, logger.LevelWarn, "settings_not_reloaded",
		"The settings file could not be read or is invalid; the current settings stay in force.")
)

// Reload reloads the settings from a file. An invalid file changes nothing; its errors are logged and returned.
func (sv *Server) Reload(path string) error {
	st, err := loader.Load(path)
	if err != nil {
		sv.logger.Log(eventNotReloaded, "file", path, "err", err)
		return err
	}
	sv.gossiper.SetSeeds(seeds(st))
	sv.logger.Log(eventReloaded, "file", path, "seeds_changed", !slices.Equal(st.Peers.Seeds, sv.settings.Peers.Seeds))
	return nil
}

// errStopped is returned by Wait when the process has stopped because of a failure.
var errStopped = errors.New("the process has stopped after a failure; see its log")

// Wait reloads the settings from a file at each SIGHUP. It returns nil at any other signal,
// or an error when the process has stopped by itself.
func (sv *Server) Wait(sig <-chan os.Signal, path string) error {
	for {
		select {
		case <-sv.Dead():
			return errStopped
		case got := <-sig:
			if got != syscall.SIGHUP {
				return nil
			}
			// Reload logs its error.
			_ = sv.Reload(path)
		}
	}
}
