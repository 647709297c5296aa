package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports are alike on all machines, below the kernel's ephemeral range.
const (
	portFront     = 18227
	portReadiness = 18220
	portControl   = 18229
	portDirectory = 18224
	portFirst     = 17340
	portLast      = 17355
	portRunner    = 18027
)

// The bounds of the small deployments.
const (
	memoryMB         = 284
	linkBytesPerS    = 1000 * 1000 * 1000 / 8
	heartbeat        = 1200 * time.Millisecond
	restartDelay     = 300 * time.Millisecond
	memoryCheckEvery = 10 * time.Millisecond
	operatorTimeout  = time.Second
)

var zones = []string{"a", "b", "c"}

// machinesPerZone is the number of front machines in each zone. The first one has a disk.
const machinesPerZone = 2

// deployment is all processes of the system, and the stand-ins around them.
type deployment struct {
	record   *record
	daemon   string
	folder   string
	keepLogs bool
	machines []*machine
	network  string
	stopping atomic.Bool
	wg       sync.WaitGroup
	version  int
	// done is closed when the stand-ins are to end.
	done chan struct{}
}

// machine is a front machine with an entry process and a control process.
type machine struct {
	name, ip, zone string
	disk           bool
	// disks counts the disks that the machine has lost.
	disks          int
	entry, control *process
}

// process is one process of the system, which the platform keeps running.
type process struct {
	d        *deployment
	m        *machine
	role     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	// ends counts the ends that no disruption of the scenario caused.
	ends int
	// downUntil is until when the machine has no power.
	downUntil time.Time
}

func newDeployment(daemon, logs string, r *record) (*deployment, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("daemon: %w; build it with the line build of deploy/system.toml", err)
	}
	folder, keep := logs, logs != ""
	var err error
	if keep {
		err = os.MkdirAll(folder, 0o750)
	} else {
		folder, err = os.MkdirTemp("", "review-")
	}
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, daemon: daemon, folder: folder, keepLogs: keep, done: make(chan struct{})}
	if err := d.pickNetwork(); err != nil {
		return nil, err
	}
	for i := range machinesPerZone * len(zones) {
		zone := zones[i%len(zones)]
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: fmt.Sprintf("%s.%d", d.network, 1+i), zone: zone, disk: i < len(zones)}
		m.entry = &process{d: d, m: m, role: "entry"}
		m.control = &process{d: d, m: m, role: "control"}
		d.machines = append(d.machines, m)
	}
	return d, nil
}

// processes returns the processes of a machine.
func (m *machine) processes() []*process { return []*process{m.control, m.entry} }

// start starts the machines for the first time, in the order given.
func (d *deployment) start(machines []*machine) error {
	for _, m := range machines {
		for _, p := range m.processes() {
			if err := p.writeSettings(true); err != nil {
				return err
			}
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// endBootstrap writes the settings for later starts.
func (d *deployment) endBootstrap() error {
	for _, m := range d.machines {
		for _, p := range m.processes() {
			if err := p.writeSettings(false); err != nil {
				return err
			}
		}
	}
	return nil
}

// startAll starts the whole deployment for the first time.
func (d *deployment) startAll() error {
	if err := d.start(d.machines); err != nil {
		return err
	}
	time.Sleep(time.Second) // all have read their settings
	return d.endBootstrap()
}

// powerOff ends all processes of a machine for some time. Its disk is kept, or replaced by an empty
// one.
func (m *machine) powerOff(d *deployment, down time.Duration, loseDisk bool) {
	until := time.Now().Add(down)
	for _, p := range m.processes() {
		p.mu.Lock()
		p.downUntil = until
		p.mu.Unlock()
	}
	for _, p := range m.processes() {
		p.signal(syscall.SIGKILL)
	}
	if loseDisk {
		m.disks++
		if err := m.control.writeSettings(false); err != nil {
			d.record.say("platform: %s gets no new disk: %v", m.name, err)
		}
	}
	d.record.say("platform: %s loses power for %s, disk lost: %v", m.name, down, loseDisk)
}

// pickNetwork picks a loopback network on which the ports are free.
func (d *deployment) pickNetwork() error {
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{portFront, portReadiness, portControl, portDirectory, portFirst, portRunner} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", d.network, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no loopback network with free ports")
}

func (p *process) writeSettings(bootstrap bool) error {
	var seeds []string
	for _, m := range p.d.machines[:len(zones)] {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s:%d", m.ip, portControl)))
	}
	serves, data := `["front","directory"]`, ""
	if p.role == "control" {
		serves = `["control"]`
		if p.m.disk {
			data = filepath.Join(p.d.folder, fmt.Sprintf("%s-data-%d", p.m.name, p.m.disks))
		}
	}
	text := fmt.Sprintf(`NodeName = %q
Role = %q
MachineClass = "front"
Serves = %s
Ip = %q
Zone = %q
Region = "r"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = %v
InTolerance = %v
DataDir = %q
Discovery = "registration"
Entry = "directory"
HeartbeatMs = %d
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","layers"]
ConfigMode = "highest"
[Zones]
a = "r"
b = "r"
c = "r"
[Listen]
Front = "%[4]s:%[13]d"
Readiness = "%[4]s:%[14]d"
Control = "%[4]s:%[15]d"
Directory = "%[4]s:%[16]d"
[Limits]
CpuShare = 0.72
Cores = 1
MemoryMb = %[17]d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 64
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
FailClosed = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetMinRetries = 204
RecoveryS = 12
pass_ms = 120
again_s = 0
stall_ms = 2000
EnforceFencing = false
ttl_max_s = 5
`, p.m.name, p.role, serves, p.m.ip, p.m.zone, portFirst, portLast, strings.Join(seeds, ","), bootstrap, p.m.disk, data,
		heartbeat.Milliseconds(), portFront, portReadiness, portControl, portDirectory, memoryMB)
	p.settings = filepath.Join(p.d.folder, p.m.name+"-"+p.role+".toml")
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file, and watches it.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.d.folder, p.m.name+"-"+p.role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.d.daemon, "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.d.folder, "SPOOLBANK_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	p.d.wg.Add(1)
	go p.watch(cmd, log)
	return nil
}

// watch ends the process when it goes over its memory, and starts it again when it has ended, as
// the platform does.
func (p *process) watch(cmd *exec.Cmd, log *os.File) {
	defer p.d.wg.Done()
	defer log.Close()
	exited := make(chan struct{})
	var peak int
	killed := false
	go func() {
		for {
			select {
			case <-exited:
				return
			case <-time.After(memoryCheckEvery):
			}
			resident := residentMB(cmd.Process.Pid)
			peak = max(peak, resident)
			if resident > memoryMB && !killed {
				killed = true
				p.d.record.say("platform: %s %s (pid %d) has %d MB resident, over its limit of %d MB: killed", p.m.name, p.role, cmd.Process.Pid, resident, memoryMB)
				_ = cmd.Process.Kill() // it may have ended by itself
			}
		}
	}()
	err := cmd.Wait()
	close(exited)
	if p.d.stopping.Load() {
		return
	}
	p.mu.Lock()
	down := time.Until(p.downUntil)
	if down <= 0 {
		p.ends++
	}
	p.mu.Unlock()
	p.d.record.say("platform: %s %s has ended: %v", p.m.name, p.role, err)
	select {
	case <-time.After(max(restartDelay, down)):
	case <-p.d.done:
		return
	}
	if !p.d.stopping.Load() {
		if err := p.start(); err != nil {
			p.d.record.say("platform: %s %s does not start: %v", p.m.name, p.role, err)
		}
	}
}

// residentMB returns the resident memory of a process in MB, or 0.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// stop ends all processes and stand-ins.
func (d *deployment) stop() {
	if d.stopping.Swap(true) {
		return
	}
	close(d.done)
	for _, m := range d.machines {
		for _, p := range m.processes() {
			p.signal(syscall.SIGKILL)
		}
	}
	d.wg.Wait()
	if !d.keepLogs {
		os.RemoveAll(d.folder)
	}
}

// put sends a configuration until it is acknowledged.
func (d *deployment) put(config map[string]any, until time.Duration) error {
	d.version++
	config["Version"] = d.version
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: operatorTimeout}
	end := time.Now().Add(until)
	for turn := 0; time.Now().Before(end); turn++ {
		m := d.machines[turn%len(zones)]
		response, err := client.Post(fmt.Sprintf("http://%s:%d/spoolbank/config/put", m.ip, portControl), "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.say("operator: version %d acknowledged by %s", d.version, m.name)
				return nil
			}
			d.record.printf("operator: POST /spoolbank/config/put of version %d at %s: %d", d.version, m.name, response.StatusCode)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", d.version)
}

// get reads the configuration back until it comes, and returns its version.
func (d *deployment) get(until time.Duration) (version int, err error) {
	client := &http.Client{Timeout: operatorTimeout}
	end := time.Now().Add(until)
	last := "nothing"
	for turn := 0; time.Now().Before(end); turn++ {
		m := d.machines[turn%len(d.machines)]
		response, err := client.Get(fmt.Sprintf("http://%s:%d/spoolbank/config/get", m.ip, portControl))
		if err != nil {
			last = err.Error()
		} else {
			var held struct{ Version int }
			err = json.NewDecoder(response.Body).Decode(&held)
			response.Body.Close()
			if response.StatusCode == http.StatusOK && err == nil {
				d.record.say("operator: %s answers with version %d", m.name, held.Version)
				return held.Version, nil
			}
			last = fmt.Sprintf("%s answered %d", m.name, response.StatusCode)
		}
		d.record.printf("operator: GET /spoolbank/config/get at %s: %s", m.name, last)
		time.Sleep(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("no configuration came back in %s; last: %s", until, last)
}

// awaitReady waits until all entry processes say that they are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: operatorTimeout}
	for {
		ready := 0
		for _, m := range d.machines {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/spoolbank/ready", m.ip, portReadiness))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.machines) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d entry processes are ready", ready, len(d.machines))
		case <-time.After(100 * time.Millisecond):
		}
	}
}
