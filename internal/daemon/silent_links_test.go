package daemon_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/fake"
)

// proxiedDeployment is a deployment whose VMs connect to each other through proxies: three control
// VMs and some entry VMs, each a process.
type proxiedDeployment struct {
	*deployment
	// proxies lead to the control VMs, entryProxies to the entry VMs.
	proxies      []*fake.Proxy
	entryProxies []*fake.Proxy
}

func deployProxied(t *testing.T, silence string) *proxiedDeployment {
	return deployProxiedEntries(t, silence, 1)
}

func deployProxiedEntries(t *testing.T, silence string, entries int) *proxiedDeployment {
	d := &proxiedDeployment{deployment: &deployment{t: t, dir: t.TempDir()}}
	var control []string
	advertised := make(map[*process]string)
	for i := range 3 + entries {
		name := fmt.Sprintf("vm-%d", i+1)
		p := &process{
			name: name, control: i < 3, callers: freeAddress(t), peers: freeAddress(t),
			settings: filepath.Join(d.dir, name+".jsonc"), data: filepath.Join(d.dir, name), log: filepath.Join(d.dir, name+".log"),
		}
		d.vms = append(d.vms, p)
		proxy, err := fake.NewProxy(freeAddress(t), p.peers)
		require.NoError(t, err)
		t.Cleanup(proxy.Close)
		advertised[p] = proxy.Address()
		if !p.control {
			d.entryProxies = append(d.entryProxies, proxy)
			continue
		}
		d.proxies = append(d.proxies, proxy)
		control = append(control, fmt.Sprintf("%q: %q", name, proxy.Address()))
	}
	for _, p := range d.vms {
		role := "entry"
		if p.control {
			role = "control"
		}
		text := fmt.Sprintf(`{
  "name": %q, "hall": "hall", "roles": [%q], "data": %q,
  "listen": {"callers": %q, "peers": %q, "advertise_peers": %q},
  "control": {"vms": {%s}, "snapshot_every": 100},
  "tls": {"plain_text": true},
  "timing": {"keep_entries": "500ms", "replace_after": "4s", "silence": %q},
}`, p.name, role, p.data, p.callers, p.peers, advertised[p], strings.Join(control, ", "), silence)
		require.NoError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	}
	d.bootstrap(d.vms[0])
	for _, p := range d.vms {
		d.start(p)
	}
	t.Cleanup(d.close)
	d.waitFor("entry VMs with a lease", func() bool { return d.rows("show vms where state = up") == entries })
	d.waitFor("three voters", func() bool { return d.rows("show replicas where vote = true and settled = true") == 3 })
	return d
}

// connections returns the number of connections that the proxies have forwarded.
func (d *proxiedDeployment) connections() int {
	sum := 0
	for _, r := range d.proxies {
		sum += r.ConnectionCount()
	}
	return sum
}

// Guards against links that stay silent forever: messages were sent into silent connections,
// so there was no leader and no statement was decided until processes were restarted.
func TestSilentLinksAreReplaced(t *testing.T) {
	d := deployProxied(t, "1200ms")
	for round := range 3 {
		before := d.connections()
		for _, r := range d.proxies {
			r.Silence()
		}
		statement := fmt.Sprintf("declare service s%d class=0", round)
		took := d.waitFor("a statement is decided", func() bool {
			return d.decide(statement, "op", uint64(round+1)).Kind == core.ResultAccepted
		})
		d.waitFor("the entry VM has its lease", func() bool { return d.rows("show vms where state = up") == 1 })
		d.waitFor("all voters follow", func() bool { return d.rows("show replicas where vote = true and settled = true") == 3 })
		made := d.connections() - before
		t.Logf("all links silent to a statement decided: %v, %d connections", took, made)
		// Six links between the control VMs and three to them; a link may need a second dial if its
		// peer's end is not back yet.
		require.LessOrEqual(t, made, 2*9)
	}
}

// A proxy that only adds delay does not make links silent.
func TestSlowLinksAreKept(t *testing.T) {
	d := deployProxied(t, "1200ms")
	for _, r := range d.proxies {
		r.SetDelay(20 * time.Millisecond)
	}
	before := d.connections()
	for round := range 20 {
		require.Equal(t, core.ResultAccepted, d.decide(fmt.Sprintf("declare service s%d class=0", round), "op", uint64(round+1)).Kind)
	}
	require.LessOrEqual(t, d.connections()-before, 3)
}
