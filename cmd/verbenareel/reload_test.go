package main

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"verbenareel/config"
	"verbenareel/node"
)

const settingsText = `instance = "sheets-1"
service = "sheets"
domain = "sapporo"
http_address = "127.0.0.1:0"
rpc_address = "127.0.0.1:0"
status_address = "127.0.0.1:0"
backend_address = "127.0.0.1:9"
platform_url = "http://127.0.0.1:9"
`

// TestReload guards against an invalid settings file that takes effect, against a change that is missed, and against a
// change that requires a restart but is not reported as such.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) { qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	settings, err := config.ParseSettings([]byte(settingsText))
	qt.Assert(t, err, qt.IsNil)
	logs, observed := observer.New(zapcore.InfoLevel)
	logger := zap.New(logs)
	n, err := node.New(settings, node.WithLogger(logger))
	qt.Assert(t, err, qt.IsNil)
	watcher := &settingsWatcher{path: path, text: []byte(settingsText), level: zap.NewAtomicLevelAt(zapcore.InfoLevel), logger: logger, node: n}

	qt.Check(t, watcher.reload(), qt.ErrorMatches, "read settings: .*")
	write(settingsText)
	qt.Check(t, watcher.reload(), qt.IsNil)
	qt.Check(t, observed.FilterMessage("settings reloaded").Len(), qt.Equals, 0)

	write(settingsText + "log_level = \"loud\"\n")
	qt.Check(t, watcher.reload(), qt.ErrorMatches, `(?s).*log_level.*`)
	qt.Check(t, watcher.reload(), qt.IsNil)
	qt.Check(t, watcher.level.Level(), qt.Equals, zapcore.InfoLevel)

	write(settingsText + "log_level = \"debug\"\nreport_interval = \"50ms\"\n")
	qt.Check(t, watcher.reload(), qt.IsNil)
	qt.Check(t, watcher.level.Level(), qt.Equals, zapcore.DebugLevel)
	lines := observed.FilterMessage("settings reloaded").All()
	qt.Assert(t, lines, qt.HasLen, 1)
	fields := lines[0].ContextMap()
	qt.Check(t, fields["applied"], qt.DeepEquals, []any{"log_level"})
	qt.Check(t, fields["need_restart"], qt.DeepEquals, []any{"report_interval"})
}
