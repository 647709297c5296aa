package daemon

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/spoolbank/spoolbank/internal/clock"
	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/relay"
)

// This file is the gateway's part in quarantining what crashes targets; relay/suspects.go describes
// the problem, relay/quarantine.go what this VM decides, core/quarantine.go how all VMs receive it.

const (
	// provenRunTime is the time since its first event after which a run counts as good: a request
	// that crashes its target does so as it starts.
	provenRunTime = 150 * time.Millisecond
	// trialWait is how long after its arrival a request waits for a trial, or for the outcome of
	// another one. It asks for a trial while at least trialNotice is left, since a permit takes a few
	// messages.
	trialWait   = time.Second
	trialNotice = 500 * time.Millisecond
	// maxLabelBytes bounds what a label quotes of an organisation and of a part, in bytes.
	maxLabelBytes = 64
)

// labelled is a fingerprint of a request, with a label that says what it is of, empty for the whole
// request.
type labelled struct {
	relay.Fingerprint
	label string
}

// fingerprintsOf returns the fingerprints of a call of an organisation: that of the whole request, and
// those of the parts of its prompt.
func fingerprintsOf(organisation string, call *Call) []labelled {
	all := []labelled{{Fingerprint: relay.NewFingerprint(organisation, call.Method, call.Host, call.URI, call.Body)}}
	for _, part := range call.Parts {
		all = append(all, labelled{Fingerprint: relay.NewPartFingerprint(organisation, part), label: partLabel(organisation, part)})
	}
	return all
}

func partLabel(organisation, part string) string {
	label := "part " + part[:min(len(part), maxLabelBytes)]
	if organisation != "" {
		label += " of " + organisation[:min(len(organisation), maxLabelBytes)]
	}
	return label
}

// joinLabels joins the labels of fingerprints, for the log.
func joinLabels(fingerprints []labelled) string {
	var labels []string
	for _, f := range fingerprints {
		labels = append(labels, f.label)
	}
	return strings.Join(labels, ", ")
}

// bare returns fingerprints without their labels.
func bare(all []labelled) []relay.Fingerprint {
	fingerprints := make([]relay.Fingerprint, len(all))
	for i, f := range all {
		fingerprints[i] = f.Fingerprint
	}
	return fingerprints
}

// crashes is what a gateway knows of requests that crash their targets.
type crashes struct {
	mu         sync.Mutex
	quarantine relay.Quarantine
}

// setQuarantine replaces the items in quarantine.
func (g *Gateway) setQuarantine(e core.QuarantineInForce) {
	g.crashes.mu.Lock()
	before := g.crashes.quarantine.Len()
	g.crashes.quarantine.SetHeld(e.Held)
	g.crashes.mu.Unlock()
	g.meter.quarantined(len(e.Held))
	g.log.Info("quarantine in force", "items", len(e.Held), "before", before)
}

// reportCrashed reports runs that ended with their target to the leader.
func (g *Gateway) reportCrashed(runs []relay.CrashedRun) {
	if len(runs) == 0 {
		return
	}
	g.crashes.mu.Lock()
	crashed, ranWell := g.crashes.quarantine.RecordCrashed(runs, clock.Now())
	g.crashes.mu.Unlock()
	g.meter.crashed(len(crashed))
	g.daemon.post(core.RunsCrashed{Runs: crashed, RanWell: ranWell})
}

// recordRanWell records that a target has run a request well at a time.
func (f *forwarding) recordRanWell(at time.Time) {
	g := f.g
	g.crashes.mu.Lock()
	suspected := g.crashes.quarantine.RecordRanWell(bare(f.fingerprints), at, clock.Now())
	g.crashes.mu.Unlock()
	if len(suspected) > 0 {
		g.log.Info("request with suspected fingerprints has run well", "request", f.call.ID, "fingerprints", suspected, "path", f.lastPath.String())
		g.daemon.post(core.RunsWentWell{Runs: suspected})
	}
}

// provenHarmless reports whether the present run has produced output for long enough.
func (f *forwarding) provenHarmless(now time.Time) bool {
	return !f.eventAt.IsZero() && !now.Before(f.eventAt.Add(provenRunTime))
}

// errQuarantined holds back a request that went into quarantine after its target was chosen.
var errQuarantined = fmt.Errorf("%w: requests like it have crashed their targets", ErrHeldBack)

// recordProvenRun records the present run as one that went well, once it has produced output for long
// enough.
func (f *forwarding) recordProvenRun() {
	if f.provenHarmless(clock.Now()) && !f.ranWell {
		f.ranWell = true
		f.recordRanWell(f.eventAt)
	}
}

// admission reports whether the quarantine lets the request be sent, and which of its fingerprints are
// in quarantine. An answer that has begun is not cut off, and a trial is not repeated.
func (f *forwarding) admission(now time.Time) (relay.Admission, []relay.Fingerprint) {
	if f.headSent {
		return relay.Admitted, nil
	}
	fingerprints := bare(f.fingerprints)
	f.g.crashes.mu.Lock()
	defer f.g.crashes.mu.Unlock()
	admission := f.g.crashes.quarantine.Admit(fingerprints, now)
	if f.trialSent || f.attempts.Sent > 0 && admission != relay.Admitted {
		admission = relay.NotAdmitted
	}
	return admission, f.g.crashes.quarantine.Held(fingerprints, now)
}

// quarantineRefusal returns the refusal of a request that may not be sent because of the quarantine,
// and asks for a trial if one is possible.
func (g *Gateway) quarantineRefusal(f *forwarding, now time.Time) *relay.Refusal {
	admission, held := f.admission(now)
	if admission == relay.Admitted || admission == relay.AdmittedAsTrial {
		return nil
	}
	if f.trialSent {
		return &relay.Refusal{Kind: relay.RefusedQuarantined, Reason: "it was a trial of what is in quarantine, and is not sent again: " + f.lastCause}
	}
	refusal := f.refusalOfHeld(held)
	if admission != relay.AwaitsTrial {
		return refusal
	}
	refusal.AwaitsTrial = true
	g.crashes.mu.Lock()
	wanted := now.Before(f.call.Arrived.Add(trialWait-trialNotice)) && g.crashes.quarantine.WantTrial(held, now)
	g.crashes.mu.Unlock()
	if wanted {
		g.daemon.post(core.TrialWanted{Fingerprints: held})
	}
	return refusal
}

// refusalOfHeld returns the refusal of a request some of whose fingerprints are in quarantine. One
// that is there itself has run; one that has a part in common with others has not. It gives no time
// to come back.
func (f *forwarding) refusalOfHeld(held []relay.Fingerprint) *relay.Refusal {
	if held[0] == f.fingerprints[0].Fingerprint {
		return &relay.Refusal{
			Kind:   relay.RefusedCrashes,
			Reason: "it has run, and the targets that ran it ended; it is not sent again: change it, or have an operator remove quarantine " + held[0].String(),
		}
	}
	label := ""
	for _, l := range f.fingerprints {
		if l.Fingerprint == held[0] {
			label = l.label
		}
	}
	return &relay.Refusal{
		Kind:   relay.RefusedQuarantined,
		Reason: "targets ended under requests with " + label + "; it is not sent: change it, or have an operator remove quarantine " + held[0].String(),
	}
}

// useTrial uses the trial that the request needs to be sent, if it needs one, and reports whether it
// may be sent.
func (f *forwarding) useTrial(now time.Time) bool {
	admission, held := f.admission(now)
	if admission == relay.Admitted {
		return true
	}
	f.g.crashes.mu.Lock()
	defer f.g.crashes.mu.Unlock()
	f.trialSent = admission == relay.AdmittedAsTrial && f.g.crashes.quarantine.Use(held, now)
	if f.trialSent {
		f.g.log.Info("request is sent as a trial of what is in quarantine", "request", f.call.ID, "items", held, "path", f.lastPath.String())
	}
	return f.trialSent
}

// returnTrials returns the trials that this VM has not used in time to the leader.
func (g *Gateway) returnTrials(now time.Time) {
	g.crashes.mu.Lock()
	unused := g.crashes.quarantine.Unused(now)
	g.crashes.mu.Unlock()
	if len(unused) > 0 {
		g.daemon.post(core.TrialsUnused{Trials: unused})
	}
}
