package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// This scenario has two runners of three answer a part of their requests with bytes that are no
// answer.

const (
	endlessClients = 40
	endlessLength  = 85 * time.Second
	endlessFrom    = 5 * time.Second
	// endlessShare is the share of the requests of a faulty runner that it answers so.
	endlessShare = 0.1
	// junkBytes is the length of such an answer, and junkPiece is written at a time.
	junkBytes = 128 << 20
	junkPiece = 64 << 10
)

// junk writes bytes that are no answer. All connections of a runner together write no faster than its
// link.
type junk struct {
	sent  atomic.Int64
	began time.Time
	mu    sync.Mutex
}

// wait waits until the link has room for a piece.
func (j *junk) wait() {
	j.mu.Lock()
	defer j.mu.Unlock()
	due := j.began.Add(time.Duration(float64(j.sent.Load()) / linkBytesPerS * float64(time.Second)))
	if now := time.Now(); due.Before(now) {
		j.began = j.began.Add(now.Sub(due)) // the link was idle
	}
	time.Sleep(time.Until(due))
	j.sent.Add(junkPiece)
}

func (j *junk) answer(d *deployment, x *runner, w http.ResponseWriter, id string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	piece := bytes.Repeat([]byte{'x'}, junkPiece)
	written := 0
	for !d.stopping.Load() && written < junkBytes {
		j.wait()
		n, err := conn.Write(piece)
		written += n
		if err != nil {
			break
		}
	}
	d.record.printf("runner %s: answered %s with %d bytes that are no answer", x.id, id, written)
}

func playEndlessAnswer(d *deployment, trouble bool) error {
	runners, err := smallDeployment(d)
	if err != nil {
		return err
	}
	began := time.Now()
	if trouble {
		for _, faulty := range runners[1:] {
			j := &junk{began: began}
			faulty.disrupt = func(w http.ResponseWriter, r *http.Request) bool {
				if time.Since(began) < endlessFrom || rand.Float64() >= endlessShare {
					return false
				}
				j.answer(d, faulty, w, r.Header.Get("Spool-Attempt-Id"))
				return true
			}
		}
	}
	seen, wait := startClients(d, endlessClients, began.Add(endlessLength), 100*time.Millisecond)
	wait()
	return judgeEndless(d, runners, seen.list())
}

func judgeEndless(d *deployment, runners []*runner, all []outcome) error {
	good, lost := 0, 0
	for _, o := range all {
		if o.status == http.StatusOK && o.whole && o.err == nil {
			good++
		}
		sound := runners[0].hasRun(o.id)
		if o.kept && o.closed && !o.read && sound {
			lost++
			d.record.printf("lost: %s %s was forwarded to the sound runner, and %s closed its kept connection without an answer", o.method, o.id, o.entry)
		}
	}
	ended, repeatedly := 0, 0
	for _, m := range d.machines {
		for _, p := range []*process{m.entry, m.control} {
			p.mu.Lock()
			ended += p.ends
			if p.ends >= 3 {
				repeatedly++
			}
			p.mu.Unlock()
		}
	}
	d.record.say("%d attempts, %d whole answers; %d requests that the sound runner ran were lost with a kept connection; %d ends of processes, on %d machines three or more", len(all), good, lost, ended, repeatedly)
	if lost > 3 {
		return fmt.Errorf("%w: %d ends of processes, %d requests lost", errBroken, ended, lost)
	}
	if good < len(all)/2 {
		return fmt.Errorf("too few answers: %d of %d", good, len(all))
	}
	return nil
}
