package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/server"
)

// serveCmd runs one instance of the fleet until SIGTERM or SIGINT.
type serveCmd struct {
	Settings string `arg:"" help:"Settings file in TOML." type:"existingfile"`
}

// Run serves until SIGTERM or SIGINT, then stops gracefully; a second signal ends the stop at once. SIGHUP reloads the settings.
func (cmd *serveCmd) Run() error {
	st, err := loader.Load(cmd.Settings)
	if err != nil {
		return err
	}
	queue := logger.NewQueue(os.Stdout)
	defer queue.Stop()
	sv := server.New(st, server.WithLog(queue))
	connector.RedirectStandardLog(sv.Logger())
	if err := sv.Start(); err != nil {
		return err
	}
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := sv.Wait(sig, cmd.Settings); err != nil {
		return err
	}
	// A second signal ends the stop at once. SIGHUP is still caught here, since it must not end the process.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return sv.Stop(ctx)
}

// checkCmd checks settings files.
type checkCmd struct {
	Files []string `arg:"" help:"Settings files in TOML." type:"existingfile"`
}

// Run prints a line for each valid file and returns the errors of all others.
func (cmd *checkCmd) Run() error {
	var errs []error
	for _, name := range cmd.Files {
		if _, err := loader.Load(name); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Println(name + ": fine")
	}
	return errors.Join(errs...)
}
