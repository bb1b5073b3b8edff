package server

import (
	"slices"

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
