package relay_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/spoolbank/spoolbank/internal/clock/clocktest"
	"github.com/spoolbank/spoolbank/internal/relay"
)

var (
	budgetHistories    = flag.Int("budget-histories", 40, "number of histories of repeats by all VMs")
	firstBudgetHistory = flag.Uint64("budget-history", 1, "seed of the first history")
)

const (
	budgetStep = 100 * time.Millisecond
	// budgetSteps is the length of a history, in steps.
	budgetSteps = 360
	// windowSteps is the window of the bound, in steps.
	windowSteps = 100
	// renewSteps is the interval of renewals, in steps.
	renewSteps = 5
	// leaseSteps is the duration of a lease, in steps.
	leaseSteps = 30
	// maxDelaySteps is the longest time from a caller's sending until its VM counts the request,
	// and from a VM's decision until the repeat arrives at the target.
	maxDelaySteps = 2
	budgetService = "s"
)

// budgetWorld is a fleet of entry VMs whose repeats share one bound: VMs are killed, restart, are
// cut from the leader and are added; leaders are lost; callers come in waves and bursts; targets
// fail for some VMs or for all.
type budgetWorld struct {
	rand  *rand.Rand
	terms relay.BudgetTerms
	step  int
	vms   []*budgetVM
	// leader is nil while there is none.
	leader *budgetLeader
	// nextLeaderStep is when a leader is elected, if there is none.
	nextLeaderStep int
	// requests are those that callers sent, and arrivals those at targets beyond the first of a
	// request, by step.
	requests, arrivals []int
	// counted holds by step the VMs that count a request then.
	counted [][]*budgetVM
	rate    float64
	burst   float64
	// hit is the share of VMs that want repeats, and hunger how many each wants in a step.
	hit    float64
	hunger int
	faults budgetFaults
	// began is when the history begins, and drawStep draws by how many seconds a clock steps, or is
	// nil. clockSteps holds by how much the time of day of each process has stepped; that of the
	// leader is under an empty name.
	began      time.Time
	drawStep   func(*rand.Rand) int64
	clockSteps map[string]int64
}

// budgetFaults are the kinds of events of a history, beside targets that fail.
type budgetFaults struct{ kills, leaders, load bool }

// budgetVM is one entry VM.
type budgetVM struct {
	name   string
	router *relay.Router
	// life counts the processes that this VM has had.
	life      int
	number    uint64
	downUntil int
	cutUntil  int
	// leaseUntil is until when it may send.
	leaseUntil int
	hit        bool
	renewPhase int
}

func newBudgetWorld(seed uint64, faults budgetFaults) *budgetWorld {
	r := rand.New(rand.NewPCG(seed, 17))
	w := &budgetWorld{
		rand:     r,
		terms:    relay.BudgetTerms{Share: 0.1 + 0.3*r.Float64(), Fixed: float64(r.IntN(400)), Window: windowSteps * budgetStep},
		requests: make([]int, budgetSteps+maxDelaySteps), arrivals: make([]int, budgetSteps+maxDelaySteps+1),
		counted: make([][]*budgetVM, budgetSteps+maxDelaySteps+1),
		rate:    float64(2 + r.IntN(60)), burst: 1, hunger: 1, faults: faults,
		began: start, clockSteps: make(map[string]int64),
	}
	for range 2 + r.IntN(40) {
		w.addVM()
	}
	w.leader = newBudgetLeader(w)
	return w
}

func (w *budgetWorld) now() time.Time { return w.began.Add(time.Duration(w.step) * budgetStep) }

// clock returns the time by the clock of a VM, or of the leader under an empty name.
func (w *budgetWorld) clock(vm string) time.Time {
	if steps := w.clockSteps[vm]; steps != 0 {
		return clocktest.Stepped(w.now(), steps)
	}
	return w.now()
}

// stepClocks steps the time of day of the leader, of a VM or of all of them.
func (w *budgetWorld) stepClocks() {
	if w.drawStep == nil || w.rand.IntN(12) > 0 {
		return
	}
	kind := w.rand.IntN(4)
	if kind <= 1 {
		w.clockSteps[""] += w.drawStep(w.rand)
	}
	for _, vm := range w.vms {
		if kind == 1 || kind == 2 && w.rand.IntN(2) == 0 {
			w.clockSteps[vm.name] += w.drawStep(w.rand)
		}
	}
}

func (w *budgetWorld) addVM() {
	vm := &budgetVM{name: fmt.Sprint("vm-", len(w.vms)), renewPhase: w.rand.IntN(renewSteps)}
	w.vms = append(w.vms, vm)
	w.startVM(vm)
}

// startVM starts a process that knows nothing of the one before.
func (w *budgetWorld) startVM(vm *budgetVM) {
	vm.life++
	vm.number, vm.leaseUntil = 0, 0
	vm.router = relay.NewRouter(relay.Settings{Hall: "a", Seed: w.rand.Uint64(), Started: w.clock(vm.name), Budget: w.terms})
}

func (w *budgetWorld) kill(vm *budgetVM) {
	vm.downUntil = w.step + 1 + w.rand.IntN(15)
	w.startVM(vm)
}

func (w *budgetWorld) up(vm *budgetVM) bool { return w.step >= vm.downUntil }

// disturb draws the next events.
func (w *budgetWorld) disturb() {
	event := w.rand.IntN(60)
	switch {
	case w.faults.kills && event < 5:
		w.disturbVMs(event)
	case w.faults.leaders && event >= 5 && event < 9:
		w.disturbLeader(event)
	case w.faults.load && event >= 9 && event < 15:
		w.burst = [...]float64{8 * w.rand.Float64(), 8, 0, 0, 1, 1}[event-9]
	case event == 15 || event == 16:
		w.hit, w.hunger = w.rand.Float64(), 1+w.rand.IntN(8)
	case event == 17:
		w.hit, w.hunger = 1, 1000
	case event == 18:
		w.hit = 0
	}
	for _, vm := range w.vms {
		vm.hit = w.rand.Float64() < w.hit
	}
}

// disturbVMs kills one VM, some or all, or adds one.
func (w *budgetWorld) disturbVMs(event int) {
	share := w.rand.Float64()
	switch event {
	case 0, 1:
		w.kill(w.vms[w.rand.IntN(len(w.vms))])
		return
	case 2:
		share = 1
		w.loseLeader()
	case 3:
		if len(w.vms) < 64 {
			w.addVM()
		}
		return
	}
	for _, vm := range w.vms {
		if w.rand.Float64() < share {
			w.kill(vm)
		}
	}
}

// disturbLeader loses the leader, or cuts some VMs from it.
func (w *budgetWorld) disturbLeader(event int) {
	if event > 6 {
		w.loseLeader()
		return
	}
	share, until := w.rand.Float64(), w.step+w.rand.IntN(50)
	for _, vm := range w.vms {
		if w.rand.Float64() < share {
			vm.cutUntil = until
		}
	}
}

func (w *budgetWorld) loseLeader() {
	if w.leader != nil {
		w.leader, w.nextLeaderStep = nil, w.step+5+w.rand.IntN(50)
	}
}

// play plays the history.
func (w *budgetWorld) play() {
	for w.step = 0; w.step < budgetSteps; w.step++ {
		w.disturb()
		w.stepClocks()
		if w.leader == nil && w.step >= w.nextLeaderStep {
			w.leader = newBudgetLeader(w)
		}
		w.callersSend()
		for _, vm := range w.counted[w.step] {
			if w.up(vm) {
				vm.router.CountRequest(budgetService, w.clock(vm.name))
			}
		}
		for _, vm := range w.vms {
			if !w.up(vm) {
				continue
			}
			if w.leader != nil && w.step >= vm.cutUntil && w.step%renewSteps == vm.renewPhase {
				w.leader.renew(vm)
				vm.leaseUntil = w.step + leaseSteps
			}
			if vm.hit && w.step < vm.leaseUntil {
				w.repeat(vm, w.hunger)
			}
		}
	}
}

func (w *budgetWorld) callersSend() {
	for mean := w.rate * w.burst; mean > 0; mean-- {
		if mean < 1 && w.rand.Float64() > mean {
			return
		}
		w.requests[w.step]++
		at := w.step + w.rand.IntN(maxDelaySteps+1)
		w.counted[at] = append(w.counted[at], w.vms[w.rand.IntN(len(w.vms))])
	}
}

// repeat makes a VM take up to n repeats.
func (w *budgetWorld) repeat(vm *budgetVM, n int) int {
	taken := 0
	for range n {
		if !vm.router.AllowRepeat(budgetService, w.rand.IntN(2) == 0, w.clock(vm.name)) {
			break
		}
		taken++
		w.arrivals[w.step+w.rand.IntN(maxDelaySteps+1)]++
	}
	return taken
}

func sumOf(counts []int, from, to int) int {
	total := 0
	for i := max(from, 0); i < min(to, len(counts)); i++ {
		total += counts[i]
	}
	return total
}

// worst returns the window in which arrivals beyond the first are the largest share of the bound.
func (w *budgetWorld) worst() (ratio float64, at, arrivals int, bound float64) {
	for x := -windowSteps; x < budgetSteps; x++ {
		requests := max(sumOf(w.requests, x, x+windowSteps), sumOf(w.requests, x-windowSteps, x), sumOf(w.requests, x-windowSteps/2, x+windowSteps/2))
		allowed := w.terms.Share*float64(requests) + w.terms.Fixed
		n := sumOf(w.arrivals, x, x+windowSteps)
		share := float64(n) / math.Max(allowed, 1e-9)
		if n > 0 && share > ratio {
			ratio, at, arrivals, bound = share, x, n, allowed
		}
	}
	return ratio, at, arrivals, bound
}

// budgetLeader is the leader's part: it grants permits for repeats.
type budgetLeader struct {
	w         *budgetWorld
	allocator *relay.PermitAllocator[string]
}

func newBudgetLeader(w *budgetWorld) *budgetLeader {
	l := &budgetLeader{w: w, allocator: relay.NewPermitAllocator[string](w.rand.Uint64(), relay.PermitTTL, w.clock(""))}
	l.allocator.GrantRepeats(w.terms)
	return l
}

// renew handles the renewal of a VM. The answer may be lost.
func (l *budgetLeader) renew(vm *budgetVM) {
	vm.number++
	holder := fmt.Sprint(vm.name, ".", vm.life)
	var permits []relay.Permits
	for _, request := range vm.router.PermitRequests(l.w.clock(vm.name)) {
		if p, ok := l.allocator.Request(holder, vm.number, request, l.w.clock("")); ok {
			permits = append(permits, p)
		}
	}
	if l.w.faults.leaders && l.w.rand.IntN(10) == 0 {
		return
	}
	now := l.w.clock(vm.name)
	vm.router.ApplyGrant(vm.number, permits, now.Add(relay.PermitTTL), now)
}

// Guards against repeats of all VMs together beyond the bound of their service, in any window,
// whatever processes and leaders are lost.
func TestRepeatsOfAllVMsStayWithinBound(t *testing.T) {
	for name, faults := range map[string]budgetFaults{
		"kills":           {kills: true},
		"leaders lost":    {leaders: true},
		"uneven load":     {load: true},
		"all":             {kills: true, leaders: true, load: true},
		"failing targets": {},
	} {
		t.Run(name, func(t *testing.T) {
			broken, worst, worstSeed := 0, 0.0, uint64(0)
			for i := range *budgetHistories {
				seed := *firstBudgetHistory + uint64(i)
				w := newBudgetWorld(seed, faults)
				w.play()
				ratio, at, arrivals, bound := w.worst()
				if ratio > worst {
					worst, worstSeed = ratio, seed
				}
				if ratio > 1 {
					broken++
					t.Logf("history %d: %d repeats in the 10 s from step %d, allowed %.1f", seed, arrivals, at, bound)
				}
			}
			t.Logf("%d histories, %d with more repeats than allowed; worst %.2f of the bound in history %d", *budgetHistories, broken, worst, worstSeed)
			require.Zero(t, broken)
		})
	}
}
