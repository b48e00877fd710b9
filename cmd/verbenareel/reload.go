package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"verbenareel/config"
	"verbenareel/node"
)

// settingsPollInterval is the interval at which the settings file is checked for changes. It is polled because it may
// change without a signal.
const settingsPollInterval = time.Second

// settingsWatcher reloads the settings file of a node when it changes.
type settingsWatcher struct {
	path   string
	text   []byte
	level  zap.AtomicLevel
	logger *zap.Logger
	node   *node.Node
	// hangups receives SIGHUP.
	hangups <-chan os.Signal
}

// watch reloads the settings when the file changes or SIGHUP is received, until ctx is cancelled.
func (s *settingsWatcher) watch(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.hangups:
			s.logger.Info("SIGHUP received; reading settings file")
		case <-ticker.C:
		}
		if err := s.reload(); err != nil {
			s.logger.Error("settings not reloaded; those before stay in force", zap.String("file", s.path), zap.Error(err))
		}
	}
}

// reload applies the settings file if its content has changed. Invalid content changes nothing and is reported only once.
func (s *settingsWatcher) reload() error {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if bytes.Equal(text, s.text) {
		return nil
	}
	s.text = text
	settings, err := config.ParseSettings(text)
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(settings.GetLogLevel())
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	s.level.SetLevel(level)
	s.node.Reload(settings)
	return nil
}
