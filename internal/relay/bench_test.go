package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// scaled returns a fleet with n times the engines of presentFleet in each hall.
func scaled(n int) layout {
	l := make(layout)
	for hall, kinds := range presentFleet {
		l[hall] = make(map[string]int)
		for kind, count := range kinds {
			l[hall][kind] = n * count
		}
	}
	return l
}

// BenchmarkChoose measures the choice of one path for fleets of three sizes.
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

// BenchmarkPlan measures a plan for a fleet that holds no layers.
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

// BenchmarkPlanHolds reports the capacity of the plan for each kind of fleet: answers a
// second with all engines and without the three whose loss costs most, and the fewest
// copies of a layer.
func BenchmarkPlanHolds(b *testing.B) {
	for _, fleet := range []struct {
		name   string
		engine *relay.Engine
		layout layout
	}{{"today", engine(), presentFleet}, {"grown", engine(), grown}, {"sparse", engine(), sparse}, {"mixed", mixedEngine(), mixed}} {
		b.Run(fleet.name, func(b *testing.B) {
			targets := engines(fleet.layout)
			var held []relay.Target
			for b.Loop() {
				held = holding(targets, relay.Plan(fleet.engine, targets))
			}
			whole := fleet.engine.Capacity(held)
			b.ReportMetric(whole.Rate, "answers/s")
			b.ReportMetric(whole.Answers, "answers")
			b.ReportMetric(float64(whole.Copies), "copies")
			b.ReportMetric(fleet.engine.CapacityAfterLosses(held, 3).Rate, "answers/s-3-lost")
			b.ReportMetric(fleet.engine.UpperBound(targets).RateByMemory, "bound-answers/s")
		})
	}
}

// BenchmarkLendSecond measures one second of a leader that grants permits: each VM renews
// twice and asks for permits of the limited targets that its requests want.
func BenchmarkLendSecond(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{10, 3}, {300, 1}, {360, 600}} {
		b.Run(fmt.Sprintf("vms=%d/limited=%d", size.vms, size.targets), func(b *testing.B) {
			allocator := relay.NewPermitAllocator[int](1, relay.PermitTTL, start.Add(-time.Hour))
			vms := make([]*relay.RateLimits, size.vms)
			for i := range vms {
				vms[i] = relay.NewRateLimits(uint64(i))
				for t := range size.targets {
					vms[i].Observe(relay.NewTargetID("i", uint64(t+1)), relay.LimitAnswer{Limited: true, PerSecond: 4.5, SentAt: start.Add(-time.Millisecond), ReceivedAt: start})
				}
			}
			now, number := start, uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				for range 2 {
					number++
					now = now.Add(500 * time.Millisecond)
					for i, vm := range vms {
						vm.NoteDemand(relay.NewTargetID("i", uint64(i%size.targets+1)), now)
						var permits []relay.Permits
						for _, ask := range vm.PermitRequests(now) {
							if p, ok := allocator.Request(i, number, ask, now); ok {
								permits = append(permits, p)
							}
						}
						vm.Grant(number, permits, now.Add(relay.PermitTTL), now)
					}
				}
			}
		})
	}
}
