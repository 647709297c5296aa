package daemon

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// This file writes logs without ever blocking a request.
//
// Lines go into a buffer that one goroutine writes out. When the buffer is full,
// lines are dropped and counted; the count is logged with the next write. A timer
// wakes the writer rather than each line: a system call per line would cost more
// than the line.

const (
	// logBufferBytes bounds the lines that wait to be written: one second of a
	// process at 500 requests a second, with two lines of 250 bytes each.
	logBufferBytes = 256 << 10
	// logFlushInterval is the longest time that a line waits.
	logFlushInterval = 100 * time.Millisecond
)

// logSink is a zapcore.WriteSyncer that never blocks.
type logSink struct {
	out            io.Writer
	mu             sync.Mutex
	buffer         []byte
	writeMu        sync.Mutex
	flushScheduled bool
	dropped        atomic.Int64
}

// Write implements io.Writer.
func (s *logSink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > logBufferBytes {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	if !s.flushScheduled {
		s.flushScheduled = true
		time.AfterFunc(logFlushInterval, s.flush)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *logSink) Sync() error {
	s.flush()
	return nil
}

func (s *logSink) flush() {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	lines := s.buffer
	s.buffer = nil
	s.flushScheduled = false
	s.mu.Unlock()
	if n := s.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, `{"level":"info","msg":"log lines dropped","lines":%d}`+"\n", n)
	}
	// A failure to write the log can't be reported anywhere.
	_, _ = s.out.Write(lines)
}

// NewLogger returns a logger that writes JSON lines to out, and a function that
// flushes the buffered lines.
func NewLogger(out io.Writer) (logr.Logger, func()) {
	sink := &logSink{out: out}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zapcore.InfoLevel))
	return zapr.NewLogger(logger), sink.flush
}
