package core

import "container/heap"

// fairQueue orders queued work by class, and within a class by weighted fair
// shares among flows. It implements start-time fair queueing: each flow has a
// tag, the flow with the lowest tag is served first, and service advances its
// tag by cost over weight. A flow that demands ten times its share is limited to
// its share while others wait, and gets all spare capacity.
//
// Tags advance when work is served, not when it arrives, so work dropped from
// the queue costs its flow nothing. If flows were charged on arrival, a flow
// whose work has expired would not be served at all.
//
// Push and pop take time logarithmic in the number of waiting flows.
type fairQueue[T any] struct {
	classes []fairClass[T]
	length  int
	// dropped reports whether an item must no longer be served.
	dropped func(T) bool
}

type fairClass[T any] struct {
	virtual float64
	flows   map[string]*flow[T]
	active  flowHeap[T]
	// cost is the sum over all items, weight the sum over the flows with items.
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

// push adds an item of the given cost to the flow of that name and weight.
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
		heap.Push(&c.active, f)
	}
}

// peek returns the next item and reports whether there is one. It removes dropped
// items that it passes.
func (q *fairQueue[T]) peek() (value T, ok bool) {
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.active) > 0 {
			f := c.active[0]
			if item := f.items[0]; !q.dropped(item.value) {
				return item.value, true
			}
			q.removeHead(c, f)
		}
	}
	return value, false
}

// pop removes and returns the next item, and reports whether there was one.
func (q *fairQueue[T]) pop() (value T, ok bool) {
	value, ok = q.peek()
	if !ok {
		return value, false
	}
	for i := range q.classes {
		c := &q.classes[i]
		if len(c.active) == 0 {
			continue
		}
		f := c.active[0]
		c.virtual = f.tag
		f.tag += f.items[0].cost / f.weight
		q.removeHead(c, f)
		break
	}
	return value, true
}

// removeHead removes the head of the class's first flow.
func (q *fairQueue[T]) removeHead(c *fairClass[T], f *flow[T]) {
	f.cost -= f.items[0].cost
	c.cost -= f.items[0].cost
	f.items = f.items[1:]
	q.length--
	if len(f.items) > 0 {
		heap.Fix(&c.active, 0)
		return
	}
	f.items = nil
	c.weight -= f.weight
	heap.Pop(&c.active)
	c.evictIdle()
}

// evictAbove is the number of flows above which idle ones are removed also while
// others wait.
const evictAbove = 1000

// evictIdle removes flows without items whose tag has no effect any more. While
// others wait, a flow that was served ahead of virtual time is kept, so that it
// gains nothing by running empty and returning.
func (c *fairClass[T]) evictIdle() {
	if len(c.active) > 0 && len(c.flows) < evictAbove {
		return
	}
	for name, f := range c.flows {
		if len(f.items) == 0 && (len(c.active) == 0 || f.tag <= c.virtual) {
			delete(c.flows, name)
		}
	}
}

// costAhead returns the cost that is served before a new item of the flow: that of
// all earlier classes, and in its own class the cost that fair sharing serves
// until the flow's own items are done.
func (q *fairQueue[T]) costAhead(class int, name string, weight float64) float64 {
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

// flowHeap is a heap of the flows with items, ordered by tag and then name.
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
