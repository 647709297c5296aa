// Package logreport summarises the structured logs of VMs: the outcomes of requests by time,
// cause and target, and the decisions of the control VMs.
package logreport

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Bounds are the times above which an answer counts as late, and the interval of the rows.
type Bounds struct {
	// MaxFirstEvent is the longest wait for the first event of an answer that is not late, and
	// MaxPause the longest pause between two of its events.
	MaxFirstEvent time.Duration
	MaxPause      time.Duration
	// Interval is the time that a row covers.
	Interval time.Duration
}

// line holds the fields of a log line that the report uses. Lines with other messages may
// have none of them.
type line struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	Kind    string    `json:"kind"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Cause   string    `json:"cause"`
	Path    string    `json:"path"`
	FirstMS int64     `json:"first_ms"`
	PauseMS int64     `json:"worst_pause_ms"`
	HeldMS  int64     `json:"held_ms"`
	Tries   int       `json:"tries"`
}

// row counts the requests that ended within one interval.
type row struct {
	served, lateFirst, longPause, retried, refused, cut int
}

// controlRow counts the decisions of control VMs, and lease events of entry VMs, within one
// interval.
type controlRow struct {
	elected, stepDowns, joined, orders, accepted, notDecided, leasesLost, leaseSources int
}

// targetCounts counts the requests that used a target.
type targetCounts struct{ served, longPause, failed int }

// Report aggregates log lines. Use New.
type Report struct {
	bounds  Bounds
	start   time.Time
	rows    map[int]*row
	control map[int]*controlRow
	causes  map[string]int
	targets map[string]*targetCounts
	// unparsed counts the lines that could not be parsed.
	unparsed int
}

// New returns an empty Report.
func New(b Bounds) *Report {
	return &Report{bounds: b, rows: make(map[int]*row), control: make(map[int]*controlRow), causes: make(map[string]int), targets: make(map[string]*targetCounts)}
}

// maxLineBytes bounds a log line, in bytes: paths of 32 stages take some 1 KB.
const maxLineBytes = 1 << 20

// Read adds all lines of a log. It ignores text before the first brace of a line, such as
// the prefix of a log collector. It returns the error of the reader.
func (r *Report) Read(from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		r.add(lines.Bytes())
	}
	return lines.Err()
}

func (r *Report) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var l line
	if err := json.Unmarshal(text[start:], &l); err != nil || l.Time.IsZero() {
		r.unparsed++
		return
	}
	if r.start.IsZero() || l.Time.Before(r.start) && len(r.rows) == 0 {
		r.start = l.Time
	}
	switch l.Message {
	case "request served":
		r.addServed(l)
	case "request refused":
		r.rowAt(l.Time).refused++
		r.causes["refused, "+l.Kind+": "+maskAddresses(l.Reason)]++
	case "stream cut":
		r.rowAt(l.Time).cut++
		r.causes["cut: "+maskAddresses(l.Reason)]++
	case "try failed":
		r.addFailed(l)
	default:
		r.addControl(l)
	}
}

// acceptedOutcome is the outcome of a configuration that was accepted.
const acceptedOutcome = "accepted"

// addControl counts lines that are not about a request.
func (r *Report) addControl(l line) {
	count := func(of func(*controlRow) *int) {
		n := r.intervalOf(l.Time)
		if r.control[n] == nil {
			r.control[n] = &controlRow{}
		}
		*of(r.control[n])++
	}
	switch {
	case l.Message == "leader elected":
		count(func(c *controlRow) *int { return &c.elected })
	case strings.HasPrefix(l.Message, "leader steps down"):
		count(func(c *controlRow) *int { return &c.stepDowns })
	case l.Message == "learner joins":
		count(func(c *controlRow) *int { return &c.joined })
	case strings.HasPrefix(l.Message, "engine ordered"):
		count(func(c *controlRow) *int { return &c.orders })
	case l.Message == "configuration put" && l.Outcome == acceptedOutcome:
		count(func(c *controlRow) *int { return &c.accepted })
	case l.Message == "configuration put":
		count(func(c *controlRow) *int { return &c.notDecided })
	case strings.HasPrefix(l.Message, "lease lost"):
		count(func(c *controlRow) *int { return &c.leasesLost })
	case strings.HasPrefix(l.Message, "leases come by way"):
		count(func(c *controlRow) *int { return &c.leaseSources })
	}
}

func (r *Report) intervalOf(at time.Time) int { return int(at.Sub(r.start) / r.bounds.Interval) }

func (r *Report) addServed(l line) {
	at := r.rowAt(l.Time)
	at.served++
	if l.FirstMS > r.bounds.MaxFirstEvent.Milliseconds() {
		at.lateFirst++
	}
	long := l.PauseMS > r.bounds.MaxPause.Milliseconds()
	if long {
		at.longPause++
	}
	if l.Tries > 1 {
		at.retried++
	}
	for _, address := range pathTargets(l.Path) {
		t := r.target(address)
		t.served++
		if long {
			t.longPause++
		}
	}
}

// addFailed attributes a failure to the target that the cause names, or else to the first
// target of the path.
func (r *Report) addFailed(l line) {
	r.causes["try failed: "+maskAddresses(l.Cause)]++
	failed := addressPattern.FindString(l.Cause)
	if passed := pathTargets(l.Path); failed == "" && len(passed) > 0 {
		failed = passed[0]
	}
	if failed != "" {
		r.target(failed).failed++
	}
}

func (r *Report) rowAt(at time.Time) *row {
	n := r.intervalOf(at)
	if r.rows[n] == nil {
		r.rows[n] = &row{}
	}
	return r.rows[n]
}

func (r *Report) target(address string) *targetCounts {
	if r.targets[address] == nil {
		r.targets[address] = &targetCounts{}
	}
	return r.targets[address]
}

// addressPattern matches the address of a target.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

// maskAddresses masks the addresses in a text, so that causes that differ only in them are
// counted together.
func maskAddresses(text string) string { return addressPattern.ReplaceAllString(text, "ADDRESS") }

// pathTargets returns the targets of a logged path, which has the form ADDRESS[FIRST,LAST) ...
func pathTargets(path string) []string {
	var out []string
	for _, stage := range strings.Fields(path) {
		address, _, _ := strings.Cut(stage, "[")
		out = append(out, address)
	}
	return out
}

// maxTargets bounds the targets in a report; those with the most failures are kept.
const maxTargets = 12

// Write writes the report as tables.
func (r *Report) Write(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FROM\tSERVED\tLATE FIRST\tLONG PAUSE\tREPEATED\tREFUSED\tCUT")
	for _, n := range slices.Sorted(maps.Keys(r.rows)) {
		c := r.rows[n]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", time.Duration(n)*r.bounds.Interval, c.served, c.lateFirst, c.longPause, c.retried, c.refused, c.cut)
	}
	r.writeControl(w)
	fmt.Fprintln(w, "\nCOUNT\tCAUSE")
	causes := slices.SortedFunc(maps.Keys(r.causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.causes[b], r.causes[a]), cmp.Compare(a, b))
	})
	for _, c := range causes {
		fmt.Fprintf(w, "%d\t%s\n", r.causes[c], c)
	}
	fmt.Fprintln(w, "\nTARGET\tSERVED\tLONG PAUSE\tFAILED")
	for _, address := range r.worstTargets() {
		t := r.targets[address]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", address, t.served, t.longPause, t.failed)
	}
	if r.unparsed > 0 {
		fmt.Fprintf(w, "\n%d lines could not be read\n", r.unparsed)
	}
	return w.Flush()
}

// writeControl writes the table of control decisions, if the logs have any.
func (r *Report) writeControl(w io.Writer) {
	if len(r.control) == 0 {
		return
	}
	fmt.Fprintln(w, "\nFROM\tELECTED\tSTEPPED DOWN\tJOINED\tORDERS\tACCEPTED\tNOT DECIDED\tLEASES LOST\tRENEW ELSEWHERE")
	for _, n := range slices.Sorted(maps.Keys(r.control)) {
		c := r.control[n]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", time.Duration(n)*r.bounds.Interval, c.elected, c.stepDowns, c.joined, c.orders, c.accepted, c.notDecided, c.leasesLost, c.leaseSources)
	}
}

func (r *Report) worstTargets() []string {
	worst := slices.SortedFunc(maps.Keys(r.targets), func(a, b string) int {
		x, y := r.targets[a], r.targets[b]
		return cmp.Or(cmp.Compare(y.failed, x.failed), cmp.Compare(y.longPause, x.longPause), cmp.Compare(a, b))
	})
	return worst[:min(len(worst), maxTargets)]
}
