package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/process"
	"github.com/lovagereach/lovagereach/platform"
)

// reloadEvery is how often the settings file is looked at. It may change
// without a signal.
const reloadEvery = 2 * time.Second

// watchSettings takes over new seeds when the settings change. The rest of the
// settings is in force from the next start.
func watchSettings(ctx context.Context, env *process.Env, setSeeds func([]ident.Host)) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	file := platform.NewSettingsFile(env.ConfigFile)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
		s, err := file.Changed()
		switch {
		case err != nil:
			env.Log.Warn("settings not reloaded, the former ones stay in force", "err", err)
		case s != nil:
			env.Log.Info("settings reloaded", "seeds", s.Seeds)
			setSeeds(s.SeedHosts())
		}
	}
}
