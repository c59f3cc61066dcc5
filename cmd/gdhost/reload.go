package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/platform"
)

// settingsTime is how often the settings file is looked at, since it may change
// without a signal.
const settingsTime = 2 * time.Second

// watchSettings takes over changed settings, after SIGHUP at once.
func (h *host) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsTime)
	defer t.Stop()
	// An error shows as a change, which reports it.
	last, _ := os.ReadFile(h.path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		text, err := os.ReadFile(h.path)
		if err == nil && !signalled && bytes.Equal(text, last) {
			continue
		}
		if err != nil && last == nil && !signalled {
			continue
		}
		last = text
		h.reloadSettings()
	}
}

// reloadSettings takes over the settings, or keeps the old ones if they are bad.
func (h *host) reloadSettings() {
	s, err := platform.LoadSettings(h.path)
	if err != nil {
		h.log.Failure(gdlog.SettingsRejected, err)
		return
	}
	h.log.Event(gdlog.SettingsReloaded, "need-restart", h.settings.RestartRequired(s))
	h.reload(s)
}
