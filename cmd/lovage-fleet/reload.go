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

// reloadInterval is the interval at which the settings file is checked for changes
// that come without a SIGHUP.
const reloadInterval = 2 * time.Second

// watchSettings applies new seeds when the settings file changes, until ctx ends.
// The other settings take effect at the next start.
func watchSettings(ctx context.Context, env *process.Env, setSeeds func([]ident.Host)) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	file := platform.NewSettingsFile(env.ConfigFile)
	ticker := time.NewTicker(reloadInterval)
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
			env.Log.Warn("settings not reloaded; the previous ones stay in force", "err", err)
		case s != nil:
			env.Log.Info("settings reloaded", "seeds", s.Seeds)
			setSeeds(s.SeedHosts())
		}
	}
}
