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

// This file writes logs without ever holding up a request.
//
// Lines go into a buffer that is written by one goroutine. When the buffer is full
// lines are dropped and counted; the count is written as soon as there is room
// again. What wakes the writer is a timer rather than each line: a system call a
// line would cost more than the line.

const (
	// logBuffer bounds the lines that wait to be written, in bytes: a second of
	// a process at 500 requests a second, with two lines of 250 bytes each.
	logBufferBytes = 256 << 10
	// logEvery is the longest time that a line waits.
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
	// There is nowhere left to report that the log itself can't be written.
	_, _ = s.out.Write(lines)
}

// NewLogger returns a logger that writes JSON lines to out, and a function that
// writes what is left.
func NewLogger(out io.Writer) (logr.Logger, func()) {
	sink := &logSink{out: out}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, zapcore.InfoLevel))
	return zapr.NewLogger(logger), sink.flush
}
