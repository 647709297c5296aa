package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/fake"
)

// changeStorm adds organisations one after the other, each with a key of its own.
type changeStorm struct {
	d       *proxiedDeployment
	mu      sync.Mutex
	decided int
	done    chan struct{}
	ended   sync.WaitGroup
}

// stormInterval is the time between two changes.
const stormInterval = 60 * time.Millisecond

func startStorm(d *proxiedDeployment) *changeStorm {
	s := &changeStorm{d: d, done: make(chan struct{})}
	s.ended.Add(1)
	go s.run()
	return s
}

func (s *changeStorm) run() {
	defer s.ended.Done()
	for number := 1; ; number++ {
		statement := fmt.Sprintf("declare organisation o%d key=%q weight=1", number, config.HashKey(stormKey(number)))
		if s.d.decide(statement, "storm", uint64(number)).Kind != core.ResultAccepted {
			s.d.t.Errorf("%s is not accepted", statement)
			return
		}
		s.mu.Lock()
		s.decided = number
		s.mu.Unlock()
		select {
		case <-time.After(stormInterval):
		case <-s.done:
			return
		}
	}
}

func (s *changeStorm) stop() {
	close(s.done)
	s.ended.Wait()
}

// newest returns the number of the newest change that was acknowledged.
func (s *changeStorm) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decided
}

func stormKey(number int) string { return fmt.Sprintf("key-%d", number) }

// statusWithKey returns the status of a call to a service that doesn't exist: 404 if the VM knows
// the key, 401 if it doesn't, 503 if it has no lease or may lack a change.
func (d *proxiedDeployment) statusWithKey(p *process, key string) int {
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodGet, "http://"+p.callers+"/services/none/", nil)
	require.NoError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Regression: a change that was lost with a broken or silent link was not sent again while others
// followed, and an entry VM knew none of the keys that were added.
func TestChangesArriveOverBrokenLinksWhileOthersFollow(t *testing.T) {
	const entries = 3
	faults := map[string]func(*fake.Proxy){
		"reset": func(p *fake.Proxy) {
			p.Sever(true)
			p.Sever(false)
		},
		"silence": (*fake.Proxy).Silence,
		"delay, then reset": func(p *fake.Proxy) {
			p.SetDelay(100 * time.Millisecond)
			time.AfterFunc(300*time.Millisecond, func() {
				p.SetDelay(0)
				p.Sever(true)
				p.Sever(false)
			})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			d := deployProxiedEntries(t, "1200ms", entries)
			storm := startStorm(d)
			defer storm.stop()
			for round := range 2 * entries {
				before := storm.newest()
				d.waitFor("changes follow each other", func() bool { return storm.newest() > before+5 })
				fault(d.entryProxies[round%entries])
				during := storm.newest()
				d.waitFor("changes follow the fault", func() bool { return storm.newest() > during+5 })
				for i, p := range d.vms[len(d.vms)-entries:] {
					newest := storm.newest()
					took := d.waitFor("the key is known", func() bool { return d.statusWithKey(p, stormKey(newest)) == http.StatusNotFound })
					t.Logf("%s at entry VM %d: entry VM %d knows change %d after %s", name, round%entries, i, newest, took)
				}
			}
		})
	}
}
