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
	for _, n := range []int{1, 3, 15} {
		targets := engines(scaled(n))
		b.Run(fmt.Sprintf("engines=%d", len(targets)), func(b *testing.B) {
			for b.Loop() {
				relay.Plan(engine(), targets)
			}
		})
	}
}
