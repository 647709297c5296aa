package core

import "container/heap"

// fairQueue orders waiting work: by class, and inside a class by weighted fair
// shares among flows. It is start-time fair queueing: each item gets the tag
// max(virtual time, its flow's last finish), and the lowest tag goes first. A
// flow that asks for ten times its share is served at its share while others
// wait, and gets all that nobody else asks for.
//
// Push and pop cost the logarithm of the number of flows that wait.
type fairQueue[T any] struct {
	classes []fairClass[T]
	length  int
}

type fairClass[T any] struct {
	virtual float64
	flows   map[string]*flow[T]
	waiting flowHeap[T]
}

type flow[T any] struct {
	name   string
	items  []flowItem[T]
	finish float64
}

type flowItem[T any] struct {
	value T
	start float64
}

func newFairQueue[T any](classes int) fairQueue[T] {
	q := fairQueue[T]{classes: make([]fairClass[T], classes)}
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
	start := max(c.virtual, f.finish)
	f.finish = start + cost/weight
	f.items = append(f.items, flowItem[T]{value: value, start: start})
	if len(f.items) == 1 {
		heap.Push(&c.waiting, f)
	}
	q.length++
}

// pop takes the item that is next, and reports whether there was one.
func (q *fairQueue[T]) pop() (value T, ok bool) {
	for i := range q.classes {
		c := &q.classes[i]
		if len(c.waiting) == 0 {
			continue
		}
		f := c.waiting[0]
		item := f.items[0]
		f.items = f.items[1:]
		c.virtual = item.start
		if len(f.items) == 0 {
			heap.Pop(&c.waiting)
			delete(c.flows, f.name)
			c.keepFinish(f)
		} else {
			heap.Fix(&c.waiting, 0)
		}
		q.length--
		return item.value, true
	}
	return value, false
}

// keepFinish remembers a flow that has been served ahead of virtual time, so
// that it can't gain by coming back empty.
func (c *fairClass[T]) keepFinish(f *flow[T]) {
	if f.finish > c.virtual && len(c.waiting) > 0 {
		f.items = nil
		c.flows[f.name] = f
	}
}

// flowHeap is a heap of the flows that have items, by the tag of the first.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	a, b := h[i].items[0].start, h[j].items[0].start
	return a < b || a == b && h[i].name < h[j].name
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
