package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file counts the names in messages of targets that nothing reads, and logs each name once: a
// name that is new on the wire may be one that this VM should support.

const (
	// maxUnreadNames bounds the names that are counted separately; all others count as one.
	maxUnreadNames = 64
	// maxUnreadNameBytes bounds the length of a name.
	maxUnreadNameBytes = 64
	// unreadOthers represents the names beyond maxUnreadNames.
	unreadOthers = "(others)"
)

// unreadNames counts the names that targets have used and nothing reads.
type unreadNames struct {
	log     logr.Logger
	counter metric.Int64Counter

	mu     sync.Mutex
	counts map[string]int
}

func newUnreadNames(log logr.Logger, counter metric.Int64Counter) *unreadNames {
	return &unreadNames{log: log, counter: counter, counts: make(map[string]int)}
}

// record counts names that a target has used.
func (u *unreadNames) record(writer string, names []string) {
	for _, name := range names {
		u.add(writer, name[:min(len(name), maxUnreadNameBytes)])
	}
}

func (u *unreadNames) add(writer, name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.counts[name]; !known && len(u.counts) >= maxUnreadNames {
		name = unreadOthers
	}
	u.counts[name]++
	u.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("name", name)))
	if u.counts[name] == 1 {
		u.log.Info("target says something that nothing reads", "writer", writer[:min(len(writer), maxWriterBytes)], "name", name)
	}
}

// list returns the names with their counts, sorted.
func (u *unreadNames) list() []relay.UnreadName {
	u.mu.Lock()
	defer u.mu.Unlock()
	var names []relay.UnreadName
	for name, count := range u.counts {
		names = append(names, relay.UnreadName{Name: name, Count: count})
	}
	slices.SortFunc(names, relay.UnreadName.Compare)
	return names
}

// Unread records names in a message of a target that nothing reads.
func (g *Gateway) Unread(writer string, names []string) { g.unread.record(writer, names) }
