package core_test

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/fake"
	"github.com/spoolbank/spoolbank/internal/relay"
	"github.com/spoolbank/spoolbank/internal/target"
)

// reachable reports whether an engine or runner is alive.
func (w *world) reachable(name string) bool { return !w.dead[name] }

// hops connects the fake engines in process.
type hops struct{ w *world }

var errDead = errors.New("no such engine")

func (h hops) Run(ctx context.Context, to core.Stage, o target.RunOrder) (target.RunReply, error) {
	if !h.w.reachable(to.Target) || h.w.chance() {
		return target.RunReply{}, errDead
	}
	reply := h.w.engines[to.Target].Run(ctx, o)
	if h.w.chance() {
		return target.RunReply{}, errDead
	}
	return reply, nil
}

func (h hops) Boundary(ctx context.Context, to core.Stage, o target.BoundaryOrder) (target.BoundaryReply, error) {
	if !h.w.reachable(to.Target) {
		return target.BoundaryReply{}, errDead
	}
	return h.w.engines[to.Target].Boundary(ctx, o), nil
}

func (w *world) run(v *vm, r core.Run) {
	starts := v.starts
	w.push(delivery{at: w.now.Add(w.latency()), run: func() {
		order := target.RunOrder{Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Model: r.Model, Prompt: r.Prompt, Chain: r.Chain, TimeoutMillis: 1000}
		if r.Position > 0 {
			order.Token = &r.Token
		}
		reply, err := hops{w}.Run(context.Background(), r.Chain[0], order)
		if err != nil {
			reply = target.RunReply{Result: core.ResultBroken, Target: r.Chain[0].Target}
		}
		w.push(delivery{at: w.now.Add(w.latency()), to: v.name, starts: starts, event: core.RunEnded{
			Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Result: reply.Result, Target: reply.Target,
			Next: reply.Next, Token: reply.Token, Finish: reply.Finish, Load: reply.Load,
		}})
	}})
}

func (w *world) rebuild(v *vm, r core.Rebuild) {
	starts := v.starts
	w.push(delivery{at: w.now.Add(w.latency()), run: func() {
		reply := target.RebuildReply{Result: core.ResultBroken, Target: r.Stage.Target}
		if w.reachable(r.Stage.Target) {
			reply = w.engines[r.Stage.Target].Rebuild(context.Background(), target.RebuildOrder{
				Stream: r.Stream, Epoch: r.Epoch, Position: r.Position, Model: r.Model, Stage: r.Stage, Source: r.Source, Prompt: r.Prompt, Tokens: r.Tokens,
			})
		}
		w.push(delivery{at: w.now.Add(w.latency()), to: v.name, starts: starts, event: core.RebuildEnded{Stream: r.Stream, Epoch: r.Epoch, Target: reply.Target, Result: reply.Result}})
	}})
}

func (w *world) dispatch(v *vm, d core.Dispatch) {
	starts := v.starts
	w.push(delivery{at: w.now.Add(w.latency()), run: func() {
		ended := core.DispatchEnded{Conn: d.Conn, ID: d.ID, Target: d.Target, Result: core.ResultRefused}
		r := w.runners[d.Target]
		w.reached[d.Target][v.name]++
		w.arrivals[d.Target] = append(w.arrivals[d.Target], w.now)
		sent := w.clock(v)
		if until := w.backoffs[d.Target]; w.now.Before(until) {
			ended.BackoffUntil = w.clock(v).Add(until.Sub(w.now))
			w.push(delivery{at: w.now.Add(w.latency()), to: v.name, starts: starts, event: ended})
			return
		}
		if w.reachable(d.Target) && w.clock(v).Before(d.NotAfter) {
			r.runs[d.ID]++
			ended.Result = core.ResultDone
			ended.Answer = core.CallAnswer{Status: 200, Body: []byte(d.ID)}
			if w.losesAnswers || w.chance() {
				ended.Result = core.ResultBroken
			}
		}
		took := w.latency() + time.Duration(w.rand.IntN(50))*time.Millisecond
		if strings.Contains(string(d.ID), "sub") {
			took += w.slow
		}
		if limit := w.limits[d.Target]; ended.Result == core.ResultDone {
			ended.Limit = relay.LimitAnswer{Limited: limit > 0, PerSecond: limit, SentAt: sent, ReceivedAt: sent.Add(took)}
		}
		w.push(delivery{at: w.now.Add(took), to: v.name, starts: starts, event: ended})
	}})
}

func (w *world) watch(v *vm, e core.Watch) {
	watched := core.Watched{Report: core.TargetReport{Target: e.Target, Reached: w.reachable(e.Target)}}
	watched.Report.Leaving = w.leaves[e.Target]
	if engine, ok := w.engines[e.Target]; ok && watched.Report.Reached {
		watched.Report.AppliedSequence = engine.Load().LastOrder
	}
	w.after(w.latency(), v.name, watched)
}

func (w *world) order(v *vm, o core.Order) {
	starts := v.starts
	w.push(delivery{at: w.now.Add(w.latency()), run: func() {
		ended := core.OrderEnded{Target: o.Placement.Target, Fence: o.Fence}
		if w.reachable(o.Placement.Target) && w.clock(v).Before(o.NotAfter) {
			reply := w.engines[o.Placement.Target].Order(context.Background(), target.PlaceOrder{
				Fence: o.Fence, Model: o.Placement.Model, Version: o.Placement.Version, Layers: o.Placement.Layers, TTLMillis: 1000,
			})
			ended.Done = reply.Result == target.OrderDone
		}
		w.push(delivery{at: w.now.Add(w.latency()), to: v.name, starts: starts, event: ended})
	}})
}

// restartEngine restarts an engine, which loses all that it held.
func (w *world) restartEngine(name string) {
	w.dead[name] = false
	w.engines[name].Engine = fake.NewEngine(fake.EngineOptions{Name: name, Slots: 64, Transport: hops{w}})
}
