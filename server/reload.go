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
		"The settings were read again. Seeds take effect at once; whatever else has changed does at the next start.")
	eventNotReloaded = logger.Define(1016, logger.LevelWarn, "settings_not_reloaded",
		"The settings could not be read again or hold a value that is not allowed; those in force stay.")
)

// Reload reads the settings anew from a file. A file with a fault changes nothing, and its faults are logged and returned.
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

// errDead is what a process ends with that has stopped by itself.
var errDead = errors.New("the process has stopped by itself; its log says why")

// Wait reads the settings anew from a file at each SIGHUP, and returns at the first other signal, or with an error when
// the process has stopped by itself.
func (sv *Server) Wait(sig <-chan os.Signal, path string) error {
	for {
		select {
		case <-sv.Dead():
			return errDead
		case got := <-sig:
			if got != syscall.SIGHUP {
				return nil
			}
			// A file with faults is logged, and changes nothing.
			_ = sv.Reload(path)
		}
	}
}
