package daemon_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	cutHistories    = flag.Int("cut-histories", 8, "number of histories of VMs that are cut from targets")
	firstCutHistory = flag.Uint64("cut-history", 1, "seed of the first history")
)

const (
	cutHistorySteps = 16
	maxCutStep      = 400 * time.Millisecond
)

// cutHistory is a random sequence of cuts of VMs from their targets, of healed ones, and of VMs that
// serve others no more, beside callers.
type cutHistory struct {
	fleet *cutFleet
	rand  *rand.Rand
	mu    sync.Mutex
	// findings are answers that seemed whole and were not.
	findings      []string
	whole, broken atomic.Int64
	// refuses is set if cuts may refuse connections: a target that does counts as ended, and a request
	// may run on another one in its place.
	refuses bool
}

func playCutHistory(t *testing.T, seed uint64) *cutHistory {
	h := &cutHistory{fleet: newCutFleet(t, 4), rand: rand.New(rand.NewPCG(seed, 5)), refuses: seed%2 == 0}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i, vm := range h.fleet.vms {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := 0; ctx.Err() == nil; n++ {
				h.call(vm, fmt.Sprintf("%d-%d", i, n), [...]string{"/streams/", "/answers/", "/once/"}[n%3])
			}
		}()
	}
	cut := make(map[int]bool)
	for range cutHistorySteps {
		i := h.rand.IntN(len(h.fleet.vms))
		vm := h.fleet.vms[i]
		switch {
		case cut[i]:
			vm.heal()
			cut[i] = false
		case h.rand.IntN(10) == 0:
			vm.stopPeers()
		default:
			kinds := []cutKind{cutSilent, cutReset, cutOneWay, cutNew}
			if h.refuses {
				kinds = append(kinds, cutRefused)
			}
			vm.cut(kinds[h.rand.IntN(len(kinds))])
			cut[i] = true
		}
		time.Sleep(time.Duration(h.rand.Int64N(int64(maxCutStep))))
	}
	for i, vm := range h.fleet.vms {
		if cut[i] {
			vm.heal()
		}
	}
	cancel()
	callers.Wait()
	return h
}

// call sends a request, and records an answer that seems whole and is not.
func (h *cutHistory) call(vm *cutVM, id, path string) {
	id += path
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, vm.server.URL+path, strings.NewReader("question"))
	if err != nil {
		return
	}
	request.Header.Set("Id", id)
	answer, err := vm.server.Client().Do(request)
	if err != nil {
		h.broken.Add(1)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil || answer.StatusCode != http.StatusOK:
		h.broken.Add(1)
		if err == nil && answer.StatusCode == http.StatusServiceUnavailable && h.fleet.ran(id) {
			h.find(id + " has run, and its caller was told that it had not")
		}
	case h.fleet.whole(id, path, string(body)):
		h.whole.Add(1)
	default:
		h.find(fmt.Sprintf("%s seems whole: %q", id, body))
	}
}

func (h *cutHistory) find(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings = append(h.findings, text)
}

// Guards against answers that seem whole and are not, requests that run twice though they may run
// once, or on more targets than their route allows, and wrong promises, while VMs lose and regain their targets and the VMs of their tunnels.
func TestCutsBreakNoPromise(t *testing.T) {
	for i := range *cutHistories {
		seed := *firstCutHistory + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := playCutHistory(t, seed)
			require.Empty(t, h.findings)
			for id, runs := range h.fleet.runs {
				require.False(t, strings.HasSuffix(id, "/once/") && runs > 1, "%s has run %d times", id, runs)
			}
			for id, on := range h.fleet.ranOn {
				require.False(t, !h.refuses && len(on) > cutMaxTargets, "%s has run on %d targets, %d allowed: %s", id, len(on), cutMaxTargets, strings.Join(h.fleet.logs.containing(id), "\n"))
			}
			t.Logf("%d answers whole, %d broken off or refused", h.whole.Load(), h.broken.Load())
			require.Positive(t, h.whole.Load())
		})
	}
}
