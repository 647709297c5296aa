package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
	"github.com/spoolbank/spoolbank/internal/fake"
	"github.com/spoolbank/spoolbank/internal/wire"
)

// binary returns the path of the daemon, built once for all tests.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "spoolbankd")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "spoolbankd")
	out, err := exec.Command("go", "build", "-o", path, "github.com/spoolbank/spoolbank/cmd/spoolbankd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// testTimeout bounds every wait of a test; it does not measure speed.
const testTimeout = 60 * time.Second

// deployment is a set of daemons as processes, with fake targets in this process.
type deployment struct {
	t       *testing.T
	dir     string
	vms     []*process
	engines []*httptest.Server
	runners []*fake.Service
	number  uint64
	// memoryMB limits the memory of each process, 0 for no limit.
	memoryMB int
}

// process is one daemon.
type process struct {
	name     string
	settings string
	data     string
	callers  string
	peers    string
	control  bool
	command  *exec.Cmd
	ended    chan error
	log      string
}

const (
	testLayers = 6
	testTokens = 40
	testKey    = "key"
)

// testIP is a loopback address used by this test process only.
var testIP = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))

// Ports are assigned below the range of outgoing connections. A port that the kernel
// assigned and that was free a moment ago can be taken by an outgoing connection
// before the daemon listens on it.
const (
	firstPort = 10000
	portCount = 18000
)

var nextPort atomic.Int64

// freeAddress returns an address on which nothing listens. Each address is returned once.
func freeAddress(t *testing.T) string {
	for range portCount {
		address := fmt.Sprintf("%s:%d", testIP, firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return address
	}
	require.FailNow(t, "no free port")
	return ""
}

// deploy starts control VMs that are entry VMs too, and further VMs that are entry VMs only.
func deploy(t *testing.T, controls, entries int, speed float64) *deployment {
	return deployWithin(t, 0, controls, entries, speed)
}

// deployWithin is deploy with a memory limit for each process.
func deployWithin(t *testing.T, memoryMB, controls, entries int, speed float64) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), memoryMB: memoryMB}
	for i := range controls + entries {
		name := fmt.Sprintf("vm-%d", i+1)
		d.vms = append(d.vms, &process{
			name: name, control: i < controls, callers: freeAddress(t), peers: freeAddress(t),
			settings: filepath.Join(d.dir, name+".jsonc"), data: filepath.Join(d.dir, name), log: filepath.Join(d.dir, name+".log"),
		})
	}
	for _, p := range d.vms {
		d.writeSettings(p)
	}
	d.bootstrap(d.vms[0])
	for _, p := range d.vms {
		d.start(p)
	}
	t.Cleanup(d.close)
	d.declareTargets(speed)
	return d
}

func (d *deployment) writeSettings(p *process) {
	var control []string
	for _, vm := range d.vms {
		if vm.control {
			control = append(control, fmt.Sprintf("%q: %q", vm.name, vm.peers))
		}
	}
	roles := `"entry"`
	if p.control {
		roles = `"control", "entry"`
	}
	text := fmt.Sprintf(`{
  "name": %q, "hall": "hall", "roles": [%s], "data": %q,
  "listen": {"callers": %q, "peers": %q},
  "control": {"vms": {%s}, "snapshot_every": 100},
  "tls": {"plain_text": true},
  "timing": {"keep_entries": "500ms", "replace_after": "4s"},
  "limits": {"memory_mb": %d},
}`, p.name, roles, p.data, p.callers, p.peers, strings.Join(control, ", "), d.memoryMB)
	require.NoError(d.t, os.WriteFile(p.settings, []byte(text), 0o600))
}

func (d *deployment) bootstrap(p *process) {
	path, err := binary()
	require.NoError(d.t, err)
	out, err := exec.Command(path, "--settings", p.settings, "--bootstrap").CombinedOutput()
	require.NoError(d.t, err, string(out))
}

func (d *deployment) start(p *process) {
	path, err := binary()
	require.NoError(d.t, err)
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	p.command = exec.Command(path, "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	require.NoError(d.t, p.command.Start())
	p.ended = make(chan error, 1)
	go func() {
		p.ended <- p.command.Wait()
		log.Close()
	}()
}

func (d *deployment) signal(p *process, s syscall.Signal) {
	require.NoError(d.t, p.command.Process.Signal(s))
}

// kill kills a process and waits until it has ended.
func (d *deployment) kill(p *process) {
	d.signal(p, syscall.SIGKILL)
	<-p.ended
	p.command = nil
}

func (d *deployment) close() {
	for _, p := range d.vms {
		if p.command != nil {
			if d.t.Failed() {
				// The process dumps the stacks of its goroutines and ends.
				_ = p.command.Process.Signal(syscall.SIGQUIT)
			} else {
				_ = p.command.Process.Kill()
			}
			_ = p.command.Process.Signal(syscall.SIGCONT)
			<-p.ended
		}
	}
	for _, s := range d.engines {
		closeServerNow(d.t, s)
	}
	if d.t.Failed() {
		for _, p := range d.vms {
			text, _ := os.ReadFile(p.log)
			d.t.Logf("%s:\n%s", p.name, text[:min(len(text), 4000)])
		}
	}
}

// query sends a statement to one VM.
func (d *deployment) query(p *process, text, operator string, number uint64) (core.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	conn, err := wire.Credentials{}.Dial(ctx, p.peers)
	if err != nil {
		return core.Result{}, err
	}
	defer conn.Close()
	reply, err := wire.Operate(ctx, conn, wire.OperateRequest{Text: text, Operator: operator, Number: number})
	return reply.Result, err
}

// waitFor repeats a check until it holds, and returns the time that this took.
func (d *deployment) waitFor(what string, done func() bool) time.Duration {
	began := time.Now()
	for !done() {
		require.Less(d.t, time.Since(began), testTimeout, what)
		select {
		case <-time.After(10 * time.Millisecond):
		case <-d.t.Context().Done():
		}
	}
	return time.Since(began)
}

// decide sends a statement to the control VMs until the leader decides it.
func (d *deployment) decide(text, operator string, number uint64) core.Result {
	var result core.Result
	d.waitFor(text, func() bool {
		for _, p := range d.vms {
			if !p.control || p.command == nil {
				continue
			}
			r, err := d.query(p, text, operator, number)
			if err == nil && r.Kind != core.ResultNotLeader && r.Kind != core.ResultInterrupted {
				result = r
				return true
			}
		}
		return false
	})
	return result
}

func (d *deployment) nextNumber() uint64 {
	d.number++
	return d.number
}

// leader returns the control VM that answers as the leader.
func (d *deployment) leader() *process {
	var leader *process
	d.waitFor("a leader", func() bool {
		for _, p := range d.vms {
			if !p.control || p.command == nil {
				continue
			}
			if r, err := d.query(p, "show config", "", 0); err == nil && r.Kind == core.ResultTable {
				leader = p
				return true
			}
		}
		return false
	})
	return leader
}

func (d *deployment) otherThan(than *process) *process {
	for _, p := range d.vms {
		if p != than && p.command != nil {
			return p
		}
	}
	return nil
}

// declareTargets starts fake targets, declares them, and waits until they serve.
func (d *deployment) declareTargets(speed float64) {
	statements := []string{
		`declare service sign class=0 repeatable=["GET /"]`,
		fmt.Sprintf("declare model m layers=%d versions=[v1]", testLayers),
		fmt.Sprintf("declare pipeline p model=m version=v1 class=1 max_tokens=%d", testTokens),
		fmt.Sprintf("declare organisation o key=%q weight=1", config.HashKey(testKey)),
	}
	for i := range 5 {
		name := fmt.Sprintf("e%d", i+1)
		server := httptest.NewServer(fake.NewEngine(fake.EngineOptions{Name: name, Slots: 64, Batch: 8, Fence: true, Speed: speed}).Handler())
		d.engines = append(d.engines, server)
		statements = append(statements, fmt.Sprintf("declare target %s address=%q hall=hall speed=100 memory=3 slots=64 fence=true", name, server.Listener.Addr()))
	}
	for i := range 2 {
		runner := fake.NewService(fake.ServiceOptions{Name: fmt.Sprintf("s%d", i+1), Slots: 64, Delay: 20 * time.Millisecond})
		d.runners = append(d.runners, runner)
		server := httptest.NewServer(runner.Handler())
		d.t.Cleanup(server.Close)
		statements = append(statements, fmt.Sprintf("declare target s%d address=%q hall=hall service=sign slots=64", i+1, server.Listener.Addr()))
	}
	for _, s := range statements {
		r := d.decide(s, "setup", d.nextNumber())
		require.Equal(d.t, core.ResultAccepted, r.Kind, "%s: %s", s, r.Message)
	}
	d.waitFor("chains and leases", func() bool {
		return d.rows("show pipelines where chains >= 2") == 1 && d.rows("show vms where state = up") == len(d.vms)
	})
	d.waitFor("every VM knows the others", func() bool {
		for _, p := range d.vms {
			if d.entryCount(p) != len(d.vms) {
				return false
			}
		}
		return true
	})
	d.waitFor("three voters", func() bool {
		return d.rows("show replicas where vote = true and settled = true") == min(3, d.controlCount())
	})
}

// entryCount returns the number of entry addresses that a VM returns to callers.
func (d *deployment) entryCount(p *process) int {
	response, err := http.Get("http://" + p.callers + "/v1/entries")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var list struct {
		Entries []core.EntryAddress `json:"entries"`
	}
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&list))
	return len(list.Entries)
}

func (d *deployment) controlCount() int {
	count := 0
	for _, p := range d.vms {
		if p.control {
			count++
		}
	}
	return count
}

func (d *deployment) rows(text string) int {
	r := d.decide(text, "", 0)
	require.NotNil(d.t, r.Table, r.Message)
	return len(r.Table.Rows)
}

// voters returns the identities that have a vote in force, sorted.
func (d *deployment) voters() []string {
	var names []string
	for _, row := range d.decide("show replicas where vote = true and settled = true", "", 0).Table.Rows {
		names = append(names, row[0])
	}
	slices.Sort(names)
	return names
}

// runs returns how often all runners together have run an identity.
func (d *deployment) runs(id string) int {
	total := 0
	for _, r := range d.runners {
		total += r.Runs()[fmt.Sprintf("o/%q", id)]
	}
	return total
}

// post sends a call that may not be repeated.
func (d *deployment) post(p *process, id, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+p.callers+"/services/sign/submit", strings.NewReader(body))
	require.NoError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", id)
	return http.DefaultClient.Do(request)
}

// closeServerNow closes a server and all its connections in one step. A live daemon retries at
// once: a request that arrived between closing the connections and closing the server would
// not end, and Close would wait for it.
func closeServerNow(t require.TestingT, s *httptest.Server) {
	require.NoError(t, s.Config.Close())
	s.Close()
}
