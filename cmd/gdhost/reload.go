package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/platform"
)

// settingsPollInterval is the interval at which the settings file is checked, because
// it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings applies changed settings, and after SIGHUP at once.
func (p *process) watchSettings(ctx context.Context) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	// If this fails, the first successful read counts as a change.
	last, _ := os.ReadFile(p.path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-p.hangups:
			signalled = true
		case <-t.C:
		}
		text, err := os.ReadFile(p.path)
		if err == nil && !signalled && bytes.Equal(text, last) {
			continue
		}
		if err != nil && last == nil && !signalled {
			continue
		}
		last = text
		p.reloadSettings()
	}
}

// reloadSettings applies the settings, or keeps the old ones if they are invalid.
func (p *process) reloadSettings() {
	s, err := platform.LoadSettings(p.path)
	if err != nil {
		p.log.Failure(gdlog.SettingsRejected, err)
		return
	}
	p.log.Event(gdlog.SettingsReloaded, "need-restart", p.settings.RestartRequired(s))
	p.reload(s)
}
