package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"verbenareel/config"
	"verbenareel/node"
)

// settingsInterval is the time between two looks at the settings file, which may change without a signal.
const settingsInterval = time.Second

// settingsFile follows the settings file of a node.
type settingsFile struct {
	path   string
	text   []byte
	level  zap.AtomicLevel
	logger *zap.Logger
	node   *node.Node
}

// follow reloads the settings when the file changes, or at SIGHUP, until ctx ends.
func (s *settingsFile) follow(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			s.logger.Info("SIGHUP received; reading the settings")
		case <-ticker.C:
		}
		if err := s.reload(); err != nil {
			s.logger.Error("settings not reloaded; those before stay in force", zap.String("file", s.path), zap.Error(err))
		}
	}
}

// reload takes over the file if its text has changed. A text with faults changes nothing and is reported once.
func (s *settingsFile) reload() error {
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
