package core

import "container/heap"

// fairQueue orders waiting work: by class, and inside a class by weighted fair
// shares among flows. It is start-time fair queueing: each flow has a tag, the
// flow with the lowest goes first, and what it is served moves its tag on by
// cost over weight. A flow that asks for ten times its share is served at its
// share while others wait, and gets all that nobody else asks for.
//
// Tags move when work is served and not when it arrives. Work that is dropped
// while it waits costs its flow nothing: charging it at its arrival was tried,
// and a flow whose work had expired was then served nothing at all.
//
// Push and pop cost the logarithm of the number of flows that wait.
type fairQueue[T any] struct {
	classes []fairClass[T]
	length  int
	// dropped reports whether an item is no longer to be served.
	dropped func(T) bool
}

type fairClass[T any] struct {
	virtual float64
	flows   map[string]*flow[T]
	waiting flowHeap[T]
	// cost is that of all items, weight that of the flows that have items.
	cost   float64
	weight float64
}

type flow[T any] struct {
	name   string
	items  []flowItem[T]
	tag    float64
	cost   float64
	weight float64
}

type flowItem[T any] struct {
	value T
	cost  float64
}

func newFairQueue[T any](classes int, dropped func(T) bool) fairQueue[T] {
	q := fairQueue[T]{classes: make([]fairClass[T], classes), dropped: dropped}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow[T])
	}
	return q
}

// push adds an item of the given cost to the flow, which has the weight.
func (q *fairQueue[T]) push(class int, name string, weight, cost float64, value T) {
	c := &q.classes[class]
	f, ok := c.flows[name]
	if !ok {
		f = &flow[T]{name: name}
		c.flows[name] = f
	}
	f.items = append(f.items, flowItem[T]{value: value, cost: cost})
	f.cost += cost
	c.cost += cost
	q.length++
	if len(f.items) == 1 {
		f.weight = weight
		f.tag = max(f.tag, c.virtual)
		c.weight += weight
		heap.Push(&c.waiting, f)
	}
}

// peek returns the item that is next, and reports whether there is one. What
// has been dropped is taken away on the way.
func (q *fairQueue[T]) peek() (value T, ok bool) {
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.waiting) > 0 {
			f := c.waiting[0]
			if item := f.items[0]; !q.dropped(item.value) {
				return item.value, true
			}
			q.advance(c, f)
		}
	}
	return value, false
}

// pop takes the item that is next, and reports whether there was one.
func (q *fairQueue[T]) pop() (value T, ok bool) {
	value, ok = q.peek()
	if !ok {
		return value, false
	}
	for i := range q.classes {
		c := &q.classes[i]
		if len(c.waiting) == 0 {
			continue
		}
		f := c.waiting[0]
		c.virtual = f.tag
		f.tag += f.items[0].cost / f.weight
		q.advance(c, f)
		break
	}
	return value, true
}

// advance takes the head of the class's first flow away.
func (q *fairQueue[T]) advance(c *fairClass[T], f *flow[T]) {
	f.cost -= f.items[0].cost
	c.cost -= f.items[0].cost
	f.items = f.items[1:]
	q.length--
	if len(f.items) > 0 {
		heap.Fix(&c.waiting, 0)
		return
	}
	f.items = nil
	c.weight -= f.weight
	heap.Pop(&c.waiting)
	c.forget()
}

// forgetAbove bounds the flows without items that are remembered.
const forgetAbove = 1000

// forget drops flows without items whose tag says nothing any more. While
// others wait, one that was served ahead of virtual time stays known, so that
// it can't gain by coming back empty.
func (c *fairClass[T]) forget() {
	if len(c.waiting) > 0 && len(c.flows) < forgetAbove {
		return
	}
	for name, f := range c.flows {
		if len(f.items) == 0 && (len(c.waiting) == 0 || f.tag <= c.virtual) {
			delete(c.flows, name)
		}
	}
}

// ahead returns the cost that is served before a new item of the flow: all of
// the classes before, and of its own class the part that fair shares give the
// other flows while its own items are served.
func (q *fairQueue[T]) ahead(class int, name string, weight float64) float64 {
	var before float64
	for i := range class {
		before += q.classes[i].cost
	}
	c := &q.classes[class]
	f, ok := c.flows[name]
	if !ok || f.cost == 0 {
		return before
	}
	return before + min(f.cost*c.weight/weight, c.cost)
}

// flowHeap is a heap of the flows that have items, by their tag.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	return h[i].tag < h[j].tag || h[i].tag == h[j].tag && h[i].name < h[j].name
}

func (h flowHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) { *h = append(*h, x.(*flow[T])) }

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
