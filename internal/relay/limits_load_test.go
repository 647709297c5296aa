package relay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/relay"
)

// These tests simulate entry VMs that renew with a leader, in front of one target that names a
// limit of requests a second with each answer, without a network.
const (
	limitNetworkDelay = time.Millisecond
	limitRenew        = 500 * time.Millisecond
	limitUrgent       = 100 * time.Millisecond
	limitBatchDelay   = 15 * time.Millisecond
	limitDuration     = 40 * time.Second
	limitSettle       = 3 * time.Second
	limitWindow       = 4 * time.Second
	limitPoll         = 30 * time.Millisecond
	limitMaxWait      = 250 * time.Millisecond
)

// limitCase is a load on the simulated VMs.
type limitCase struct {
	vms       int
	perSecond float64
	// asked is the rate of requests per second, and at returns the VM that receives one.
	asked float64
	at    func(r *rand.Rand, vms int, since time.Duration) int
	// waits indicates that no other target serves: a request without a permit waits a little.
	waits bool
	// lost is the fraction of the messages between VMs that are lost.
	lost float64
	seed uint64
}

func evenly(r *rand.Rand, vms int, _ time.Duration) int { return r.IntN(vms) }

func atOne(*rand.Rand, int, time.Duration) int { return 0 }

func fromVMToVM(_ *rand.Rand, vms int, since time.Duration) int {
	return int(since/(10*time.Second)) % vms
}

func mostlyInOneHall(r *rand.Rand, vms int, _ time.Duration) int {
	if hall := (vms + 2) / 3; r.Float64() < 0.8 {
		return r.IntN(hall)
	}
	return r.IntN(vms)
}

type limitEvent struct {
	at time.Time
	n  int
	do func()
}

type limitEvents []limitEvent

func (e limitEvents) Len() int { return len(e) }
func (e limitEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e limitEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *limitEvents) Push(x any)   { *e = append(*e, x.(limitEvent)) }
func (e *limitEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// limitWorld simulates a case.
type limitWorld struct {
	limitCase
	rand      *rand.Rand
	now       time.Time
	events    limitEvents
	number    int
	vms       []*limitVM
	allocator *relay.PermitAllocator[int]
	// arrivals are the times at which the target received a request.
	arrivals []time.Time
	served   int
	asks     int
}

type limitVM struct {
	index    int
	limits   *relay.RateLimits
	renewal  uint64
	sent     map[uint64]time.Time
	urgentAt time.Time
	dead     bool
}

const limitedTarget = relay.TargetID("t")

func newLimitWorld(c limitCase) *limitWorld {
	w := &limitWorld{limitCase: c, rand: rand.New(rand.NewPCG(c.seed, 1)), now: start}
	w.allocator = relay.NewPermitAllocator[int](c.seed, relay.PermitTTL, start.Add(-time.Hour))
	for i := range c.vms {
		w.vms = append(w.vms, w.newVM(i))
		w.at(start.Add(time.Duration(w.rand.Int64N(int64(limitRenew)))), func() { w.renewAgain(i) })
	}
	return w
}

func (w *limitWorld) newVM(i int) *limitVM {
	return &limitVM{index: i, limits: relay.NewRateLimits(w.seed<<8 + uint64(i)), sent: make(map[uint64]time.Time)}
}

func (w *limitWorld) at(t time.Time, do func()) {
	w.number++
	heap.Push(&w.events, limitEvent{at: t, n: w.number, do: do})
}

func (w *limitWorld) play() {
	w.arrive()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(limitEvent)
		if e.at.After(start.Add(limitDuration)) {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *limitWorld) arrive() {
	gap := time.Duration(w.rand.ExpFloat64() / w.asked * float64(time.Second))
	w.at(w.now.Add(gap), func() {
		vm := w.vms[w.limitCase.at(w.rand, len(w.vms), w.now.Sub(start))]
		w.ask(vm, w.now)
		w.arrive()
	})
}

// ask sends a request if it gets a permit. It waits for one if no other target serves.
func (w *limitWorld) ask(vm *limitVM, began time.Time) {
	if vm.dead {
		return
	}
	if began.Equal(w.now) {
		vm.limits.NoteDemand(limitedTarget, w.now)
	}
	if vm.limits.Acquire(limitedTarget, w.now) {
		w.send(vm)
		return
	}
	if !w.waits || w.now.Sub(began) >= limitMaxWait {
		return
	}
	if !w.now.Before(vm.urgentAt) {
		w.renew(vm)
	}
	w.at(w.now.Add(limitPoll), func() { w.ask(vm, began) })
}

func (w *limitWorld) send(vm *limitVM) {
	sent := w.now
	w.at(w.now.Add(limitNetworkDelay), func() {
		w.arrivals = append(w.arrivals, w.now)
		named := w.perSecond
		w.at(w.now.Add(limitNetworkDelay), func() {
			w.served++
			vm.limits.Observe(limitedTarget, relay.LimitAnswer{Limited: named > 0, PerSecond: named, SentAt: sent, ReceivedAt: w.now})
		})
	})
}

func (w *limitWorld) renewAgain(i int) {
	if vm := w.vms[i]; !vm.dead {
		w.renew(vm)
	}
	w.at(w.now.Add(limitRenew), func() { w.renewAgain(i) })
}

// renew reports the state of a VM to the leader, by way of a control VM that batches renewals.
func (w *limitWorld) renew(vm *limitVM) {
	vm.renewal++
	vm.urgentAt = w.now.Add(limitUrgent)
	number := vm.renewal
	vm.sent[number] = w.now
	asks := vm.limits.PermitRequests(w.now)
	if w.rand.Float64() < w.lost {
		return
	}
	w.at(w.now.Add(2*limitNetworkDelay+time.Duration(w.rand.Int64N(int64(limitBatchDelay)))), func() { w.grant(vm, number, asks) })
}

func (w *limitWorld) grant(vm *limitVM, number uint64, asks []relay.PermitRequest) {
	var permits []relay.Permits
	for _, a := range asks {
		w.asks++
		if p, ok := w.allocator.Request(vm.index, number, a, w.now); ok {
			permits = append(permits, p)
		}
	}
	if w.rand.Float64() < w.lost {
		return
	}
	w.at(w.now.Add(2*limitNetworkDelay), func() {
		marks := make(map[relay.TargetKey]relay.Mark)
		for _, key := range w.allocator.Limited() {
			marks[key] = relay.MarkLimited
		}
		vm.limits.ApplyMarks(marks, true, w.now)
		vm.limits.Grant(number, permits, vm.sent[number].Add(relay.PermitTTL), w.now)
	})
}

// most returns the largest number of arrivals in a window, from a time on.
func (w *limitWorld) most(from time.Time) int {
	most, first := 0, 0
	for i, at := range w.arrivals {
		for w.arrivals[first].Before(at.Add(-limitWindow)) || w.arrivals[first].Before(from) {
			if first == i {
				break
			}
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// arrivedFrom counts the arrivals from a time on.
func (w *limitWorld) arrivedFrom(from time.Time) int {
	return len(w.arrivals) - slices.IndexFunc(append(slices.Clone(w.arrivals), from), func(at time.Time) bool { return !at.Before(from) })
}

// Without any limit at entry VMs, two engines that accept 4.5 requests a second get 15. With an
// equal part for each VM, one that all callers use would use a tenth of the limit. The aim is
// nine tenths of it where there is demand, and no window of 4 s with more than one and a half
// times the limit and 5.
func TestLimitIsUsedAndKeptForAllCallerPatterns(t *testing.T) {
	ways := map[string]func(*rand.Rand, int, time.Duration) int{
		"evenly": evenly, "at one VM": atOne, "from VM to VM": fromVMToVM, "mostly in one hall": mostlyInOneHall,
	}
	for name, at := range ways {
		for _, perSecond := range []float64{0.5, 4.5, 50} {
			for _, waits := range []bool{false, true} {
				c := limitCase{vms: 10, perSecond: perSecond, asked: max(20*perSecond, 10), at: at, waits: waits}
				t.Run(fmt.Sprintf("10 VMs, %g a second, %s, waits %v", perSecond, name, waits), func(t *testing.T) { usedAndKept(t, c, 3) })
			}
		}
		c := limitCase{vms: 300, perSecond: 4.5, asked: 300, at: at}
		t.Run("300 VMs, "+name, func(t *testing.T) { usedAndKept(t, c, 1) })
	}
}

// usedAndKept simulates a case with some seeds.
func usedAndKept(t *testing.T, c limitCase, seeds uint64) {
	t.Helper()
	for seed := range seeds {
		c.seed = seed + 1
		w := newLimitWorld(c)
		w.play()
		from := start.Add(limitSettle)
		require.LessOrEqual(t, float64(w.most(from)), 1.5*c.perSecond*limitWindow.Seconds()+5)
		could := c.perSecond * (limitDuration - limitSettle).Seconds()
		require.GreaterOrEqual(t, float64(w.arrivedFrom(from)), 0.9*could)
	}
}
