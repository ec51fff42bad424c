package quota

// notFilling is the index of a bucket that is not in the heap.
const notFilling = -1

// fillHeap is a binary min-heap of buckets, ordered by the time at which they will be full. Bucket.fillIndex is the
// position of each bucket.
type fillHeap []*Bucket

func (h *fillHeap) add(b *Bucket) {
	b.fillIndex = len(*h)
	*h = append(*h, b)
	h.up(b.fillIndex)
}

// remove removes a bucket, if it is in the heap.
func (h *fillHeap) remove(b *Bucket) {
	index := b.fillIndex
	if index == notFilling {
		return
	}
	last := len(*h) - 1
	moved := (*h)[last]
	b.fillIndex = notFilling
	*h = (*h)[:last]
	if index == last {
		return
	}
	(*h)[index] = moved
	moved.fillIndex = index
	h.up(index)
	h.down(moved.fillIndex)
}

func (h fillHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].fillIndex = i
	h[j].fillIndex = j
}

func (h fillHeap) up(i int) {
	for i > 0 && h[i].fullAt < h[(i-1)/2].fullAt {
		parent := (i - 1) / 2
		h.swap(i, parent)
		i = parent
	}
}

func (h fillHeap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].fullAt < h[least].fullAt {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
