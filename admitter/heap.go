package admitter

// flowHeap is a binary heap of flows that stores in each flow its index, so that a flow can be moved
// or removed in O(log n).
type flowHeap struct {
	flows []*flow
	less  func(fa, fb *flow) bool
	index func(fl *flow) *int
}

func (fh *flowHeap) top() *flow { return fh.flows[0] }

func (fh *flowHeap) push(fl *flow) {
	fh.flows = append(fh.flows, fl)
	*fh.index(fl) = len(fh.flows) - 1
	fh.up(len(fh.flows) - 1)
}

func (fh *flowHeap) remove(fl *flow) {
	pos := *fh.index(fl)
	last := len(fh.flows) - 1
	fh.swap(pos, last)
	fh.flows[last] = nil
	fh.flows = fh.flows[:last]
	if pos < last {
		fh.move(pos)
	}
}

// fix restores the order after the key of a flow has changed.
func (fh *flowHeap) fix(fl *flow) { fh.move(*fh.index(fl)) }

func (fh *flowHeap) move(pos int) {
	fh.up(pos)
	fh.down(pos)
}

func (fh *flowHeap) up(pos int) {
	for pos > 0 {
		parent := (pos - 1) / 2
		if !fh.less(fh.flows[pos], fh.flows[parent]) {
			return
		}
		fh.swap(pos, parent)
		pos = parent
	}
}

func (fh *flowHeap) down(pos int) {
	for {
		child := 2*pos + 1
		if child >= len(fh.flows) {
			return
		}
		if child+1 < len(fh.flows) && fh.less(fh.flows[child+1], fh.flows[child]) {
			child++
		}
		if !fh.less(fh.flows[child], fh.flows[pos]) {
			return
		}
		fh.swap(pos, child)
		pos = child
	}
}

func (fh *flowHeap) swap(one, two int) {
	fh.flows[one], fh.flows[two] = fh.flows[two], fh.flows[one]
	*fh.index(fh.flows[one]) = one
	*fh.index(fh.flows[two]) = two
}
