package relay_test

import (
	"fmt"
	"testing"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// scaled is today's fleet n times over in each hall.
func scaled(n int) layout {
	l := make(layout)
	for hall, kinds := range today {
		l[hall] = make(map[string]int)
		for kind, count := range kinds {
			l[hall][kind] = n * count
		}
	}
	return l
}

// BenchmarkChoose gives the cost of one path at three sizes of the fleet.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1, 3, 15} {
		targets := engines(scaled(n))
		b.Run(fmt.Sprintf("engines=%d", len(targets)), func(b *testing.B) {
			r, route := newRouter(targets)
			b.ReportAllocs()
			for b.Loop() {
				path, refusal := r.Choose(ask(route), start)
				if refusal != nil {
					b.Fatal(refusal)
				}
				r.Release(path, false)
			}
		})
	}
}

// BenchmarkPlan gives the cost of a plan for a fleet that holds nothing.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{1, 3, 15, 77} {
		targets := engines(scaled(n))
		b.Run(fmt.Sprintf("engines=%d", len(targets)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				relay.Plan(engine(), targets)
			}
		})
	}
}

// BenchmarkPlanHolds gives what the plan of each kind of fleet holds: answers a second, with
// all engines and without the three whose loss costs most, and the least copies of a layer.
func BenchmarkPlanHolds(b *testing.B) {
	for _, fleet := range []struct {
		name   string
		engine *relay.Engine
		layout layout
	}{{"today", engine(), today}, {"grown", engine(), grown}, {"sparse", engine(), sparse}, {"mixed", mixedEngine(), mixed}} {
		b.Run(fleet.name, func(b *testing.B) {
			targets := engines(fleet.layout)
			var held []relay.Target
			for b.Loop() {
				held = holding(targets, relay.Plan(fleet.engine, targets))
			}
			whole := fleet.engine.Hold(held)
			b.ReportMetric(whole.Rate, "answers/s")
			b.ReportMetric(whole.Answers, "answers")
			b.ReportMetric(float64(whole.Copies), "copies")
			b.ReportMetric(fleet.engine.HoldAfter(held, 3).Rate, "answers/s-3-lost")
			b.ReportMetric(fleet.engine.MostOf(targets).RateByMemory, "bound-answers/s")
		})
	}
}
