package cmd

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/settings"
)

// serve runs the daemon until it exits. The first SIGTERM or SIGINT starts a
// planned stop, the second stops the daemon at once.
func serve(s settings.Settings) error {
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.Stop()
		<-signals
		d.Kill()
	}()
	return d.Run()
}

func newLogger(level settings.LogLevel) (logr.Logger, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.DisableStacktrace = true
	config.Sampling = nil
	switch level {
	case settings.LogDebug:
		config.Level = zap.NewAtomicLevelAt(zapcore.DebugLevel)
	case settings.LogError:
		config.Level = zap.NewAtomicLevelAt(zapcore.ErrorLevel)
	}
	logger, err := config.Build()
	if err != nil {
		return logr.Logger{}, err
	}
	return zapr.NewLogger(logger), nil
}
