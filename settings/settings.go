// Package settings parses and validates the settings of a daemon, written as JSON
// with comments. Load returns all faults that it finds, each with its line and column;
// values are checked once all names and types are valid.
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// Role is a function of a daemon in the deployment.
type Role string

// The roles. A VM may have both.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name is the VM's name, unique in the deployment. Hall is its data hall.
	Name  string `json:"name"`
	Hall  string `json:"hall"`
	Roles []Role `json:"roles"`
	// Data is the data directory of a control VM.
	Data   string `json:"data"`
	Listen Listen `json:"listen"`
	// Control lists the control VMs.
	Control Control `json:"control"`
	// Platform is the URL of the platform's list of VMs, empty if there is none.
	Platform string   `json:"platform"`
	TLS      TLS      `json:"tls"`
	Limits   Limits   `json:"limits"`
	Timing   Timing   `json:"timing"`
	LogLevel LogLevel `json:"log_level"`
	Policy   Policy   `json:"policy"`
}

// Listen holds the listen addresses of a daemon, as IP:PORT.
type Listen struct {
	// Callers serves callers, Peers serves VMs and operators, Metrics serves scrapes.
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
	// AdvertisePeers is the address at which other VMs reach Peers, if it is another one, as
	// behind a forwarder.
	AdvertisePeers string `json:"advertise_peers"`
}

// PeersForOthers returns the address that other VMs connect to.
func (l Listen) PeersForOthers() string { return cmp.Or(l.AdvertisePeers, l.Peers) }

// Control describes the group of control VMs.
type Control struct {
	// VMs maps the name of each control VM to its peer address.
	VMs           map[string]string `json:"vms"`
	Voters        int               `json:"voters"`
	SnapshotEvery int               `json:"snapshot_every"`
}

// TLS names the files for mutual TLS between VMs and with operators.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
	// PlainText must be set to run without TLS.
	PlainText bool `json:"plain_text"`
}

// Limits bound the resources that callers may use at a daemon.
type Limits struct {
	HeaderBytes int      `json:"header_bytes"`
	BodyBytes   int64    `json:"body_bytes"`
	Requests    int      `json:"requests"`
	RequestTime Duration `json:"request_time"`
	// MemoryMB is the soft memory limit of the process, in MB; 0 sets none. Near the
	// limit the garbage collector runs more often.
	MemoryMB int `json:"memory_mb"`
	// UnreadTime is how long an answer is buffered for a caller that reads none of it.
	UnreadTime Duration `json:"unread_time"`
}

// Timing holds the intervals that operators may set; see core.Timing.
type Timing struct {
	Heartbeat   Duration `json:"heartbeat"`
	ElectionMin Duration `json:"election_min"`
	ElectionMax Duration `json:"election_max"`
	Lease       Duration `json:"lease"`
	Renew       Duration `json:"renew"`
	// Confirm is how long an entry VM refuses finally by a configuration that no control VM has
	// confirmed to be the newest. After that it asks callers to come back.
	Confirm      Duration `json:"confirm"`
	ReplaceAfter Duration `json:"replace_after"`
	KeepEntries  Duration `json:"keep_entries"`
	// KeepEntriesAfterLoss is how long callers may cache addresses while entry VMs are lost.
	KeepEntriesAfterLoss Duration `json:"keep_entries_after_loss"`
	StageSilence         Duration `json:"stage_silence"`
	// Silence is the time within which an unresponsive open connection is detected and
	// abandoned; 0 leaves detection to the kernel. See internal/silence.
	Silence Duration `json:"silence"`
	// TargetHeartbeat is the interval at which registered targets send heartbeats.
	TargetHeartbeat Duration `json:"target_heartbeat"`
}

// Policy switches mechanisms of the decision logic on or off by name. A mechanism that it
// does not name is on. See relay.Mechanism.
type Policy map[string]string

// Relay converts the policy for the router. Entries that do not parse are skipped; Parse has
// already rejected them.
func (p Policy) Relay() relay.Policy {
	var policy relay.Policy
	for _, name := range slices.Sorted(maps.Keys(p)) {
		if next, err := policy.Switched(name, p[name]); err == nil {
			policy = next
		}
	}
	return policy
}

// ParsePolicy parses NAME=on|off pairs, separated by commas or spaces. Its error joins all faults.
func ParsePolicy(text string) (Policy, error) {
	p := make(Policy)
	var faults []error
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		name, value, _ := strings.Cut(part, "=")
		if _, err := (relay.Policy{}).Switched(name, value); err != nil {
			faults = append(faults, err)
		}
		p[name] = value
	}
	return p, errors.Join(faults...)
}

// Merge returns a copy of the policy in which the entries of other take precedence.
func (p Policy) Merge(other Policy) Policy {
	merged := maps.Clone(other)
	for name, value := range p {
		if _, named := other[name]; !named {
			merged[name] = value
		}
	}
	return merged
}

// LogLevel is the lowest severity that is logged.
type LogLevel string

// The log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Duration is a time.Duration, encoded as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("give a duration in quotes, as in \"1.5s\"")
	}
	value, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("give a duration as in \"1.5s\" or \"200ms\"")
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Default returns the values of settings that a file leaves out.
func Default() Settings {
	return Settings{
		Control: Control{Voters: 3, SnapshotEvery: 1000},
		Limits: Limits{
			HeaderBytes: 16 << 10,
			BodyBytes:   1 << 20,
			Requests:    20000,
			RequestTime: Duration(60 * time.Second),
			// The longest deadline of callers is 20 s. A caller that has read nothing for
			// longer has most likely disconnected.
			UnreadTime: Duration(30 * time.Second),
		},
		Timing: Timing{
			Heartbeat:            Duration(100 * time.Millisecond),
			ElectionMin:          Duration(500 * time.Millisecond),
			ElectionMax:          Duration(1000 * time.Millisecond),
			Lease:                Duration(3 * time.Second),
			Renew:                Duration(500 * time.Millisecond),
			Confirm:              Duration(1500 * time.Millisecond),
			ReplaceAfter:         Duration(10 * time.Second),
			KeepEntries:          Duration(5 * time.Second),
			KeepEntriesAfterLoss: Duration(5 * time.Second),
			StageSilence:         Duration(2 * time.Second),
			Silence:              Duration(1200 * time.Millisecond),
			TargetHeartbeat:      Duration(1200 * time.Millisecond),
		},
		LogLevel: LogInfo,
	}
}

// HasRole reports whether the daemon has the role.
func (s Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// Load parses and validates a file. Its error is of type Faults if the file is
// readable but invalid.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w; name a readable file with --settings", err)
	}
	return Parse(text)
}

// Parse parses and validates settings. Its error is of type Faults.
func Parse(text []byte) (Settings, error) {
	tree, err := hujson.Parse(text)
	if err != nil {
		return Settings{}, syntaxFaults(err)
	}
	c := newChecker(text, tree)
	s := Default()
	c.checkFields("", &tree, s)
	if len(c.faults) > 0 {
		return Settings{}, c.sorted()
	}
	standardized, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Settings{}, syntaxFaults(err)
	}
	if err := json.Unmarshal(standardized, &s); err != nil {
		return Settings{}, syntaxFaults(err)
	}
	c.checkValues(s)
	if len(c.faults) > 0 {
		return Settings{}, c.sorted()
	}
	return s, nil
}

// checkValues validates the values of settings that have the right types.
func (c *checker) checkValues(s Settings) {
	c.require(s.Name != "", "/name", "name is required; give the VM a name of its own")
	c.require(s.Hall != "", "/hall", "hall is required; name the VM's data hall")
	c.require(len(s.Roles) > 0, "/roles", "roles is required; give \"control\", \"entry\" or both")
	for _, r := range s.Roles {
		c.require(r == RoleControl || r == RoleEntry, "/roles", fmt.Sprintf("there is no role %q; use \"control\" or \"entry\"", r))
	}
	c.checkAddress(s.Listen.Peers, "/listen/peers", true)
	c.checkAddress(s.Listen.AdvertisePeers, "/listen/advertise_peers", false)
	c.checkAddress(s.Listen.Callers, "/listen/callers", s.HasRole(RoleEntry))
	c.checkAddress(s.Listen.Metrics, "/listen/metrics", false)
	c.require(s.Data != "" || !s.HasRole(RoleControl), "/data", "a control VM needs a data folder; name one on its disk")
	c.checkControl(s)
	c.checkTLS(s.TLS)
	c.checkLimits(s.Limits)
	c.checkTiming(s.Timing)
	c.checkPolicy(s.Policy)
	levels := []LogLevel{LogDebug, LogInfo, LogError}
	c.require(slices.Contains(levels, s.LogLevel), "/log_level", "log_level is debug, info or error")
}

func (c *checker) checkPolicy(p Policy) {
	for name, value := range p {
		if _, err := (relay.Policy{}).Switched(name, value); err != nil {
			c.fault("/policy/"+name, err.Error())
		}
	}
}

func (c *checker) checkAddress(address, path string, required bool) {
	if address == "" {
		c.require(!required, path, path[1:]+" is required; give an address as IP:PORT")
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	c.require(err == nil, path, fmt.Sprintf("%q is no address; give IP:PORT with an IP number", address))
	// This address is sent to other processes, so they must be able to connect to it.
	c.require(err != nil || !parsed.Addr().IsUnspecified(), path, fmt.Sprintf("%q stands for all addresses; give the IP number that others reach this VM by", address))
}

func (c *checker) checkControl(s Settings) {
	c.require(len(s.Control.VMs) > 0, "/control/vms", "control.vms is required; list each control VM with its address for peers")
	for name, address := range s.Control.VMs {
		c.checkAddress(address, "/control/vms/"+name, true)
	}
	if s.HasRole(RoleControl) {
		_, listed := s.Control.VMs[s.Name]
		c.require(listed, "/control/vms", fmt.Sprintf("a control VM lists itself; add %q", s.Name))
	}
	c.require(s.Control.Voters%2 == 1 && s.Control.Voters > 0, "/control/voters", "voters is an odd number; an even one survives no more losses")
	c.require(s.Control.SnapshotEvery >= 10, "/control/snapshot_every", "snapshot_every is at least 10 log entries")
}

func (c *checker) checkTLS(t TLS) {
	configured := t.Certificate != "" && t.Key != "" && t.Authority != ""
	c.require(configured || t.PlainText, "/tls", "tls needs certificate, key and authority; or set plain_text to true to go without")
	c.require(!t.PlainText || t.Certificate == "", "/tls/plain_text", "plain_text goes without a certificate; drop one of them")
}

// minMemoryMB is the memory of an idle daemon, in MB, with some headroom.
const minMemoryMB = 32

func (c *checker) checkLimits(l Limits) {
	c.require(l.HeaderBytes >= 1<<10, "/limits/header_bytes", "header_bytes is at least 1024")
	c.require(l.BodyBytes >= 1<<10, "/limits/body_bytes", "body_bytes is at least 1024")
	c.require(l.Requests > 0, "/limits/requests", "requests is at least 1")
	c.require(l.MemoryMB == 0 || l.MemoryMB >= minMemoryMB, "/limits/memory_mb", fmt.Sprintf("memory_mb is 0 for no limit, or at least %d", minMemoryMB))
	c.require(l.RequestTime > 0, "/limits/request_time", "request_time is more than 0s")
	c.require(l.UnreadTime > 0, "/limits/unread_time", "unread_time is more than 0s")
}

// minSilence is twice the shortest waits of package silence. Below it the measured
// round-trip times would have no effect.
const minSilence = 600 * time.Millisecond

func (c *checker) checkTiming(t Timing) {
	c.require(t.Heartbeat > 0, "/timing/heartbeat", "heartbeat is more than 0s")
	c.require(t.ElectionMin >= 3*t.Heartbeat, "/timing/election_min", "election_min is at least three heartbeats, or a lost message costs an election")
	c.require(t.ElectionMax >= t.ElectionMin+t.ElectionMin/4, "/timing/election_max", "election_max is at least a quarter more than election_min, or replicas stand together")
	c.require(t.Renew > 0 && t.Lease >= 3*t.Renew, "/timing/lease", "lease is at least three times renew, or a lost message costs it")
	c.require(t.Lease >= 2*t.ElectionMax, "/timing/lease", "lease is at least twice election_max, or each election stops the entry VMs")
	c.require(t.Confirm >= 2*t.Renew && t.Confirm <= t.Lease, "/timing/confirm", "confirm is at least twice renew, or a lost message costs it, and at most lease, after which nothing is decided")
	c.require(t.KeepEntries > 0, "/timing/keep_entries", "keep_entries is more than 0s")
	c.require(t.KeepEntriesAfterLoss >= t.KeepEntries, "/timing/keep_entries_after_loss", "keep_entries_after_loss is at least keep_entries")
	c.require(t.StageSilence > 0, "/timing/stage_silence", "stage_silence is more than 0s")
	c.require(t.Silence == 0 || time.Duration(t.Silence) >= minSilence, "/timing/silence", fmt.Sprintf("silence is 0s to leave it to the kernel, or at least %s, or connections that are only slow are left", minSilence))
	c.require(t.TargetHeartbeat > 0, "/timing/target_heartbeat", "target_heartbeat is more than 0s")
	c.require(t.ReplaceAfter >= 2*t.ElectionMax, "/timing/replace_after", "replace_after is at least twice election_max")
}
