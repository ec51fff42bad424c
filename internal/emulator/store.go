package emulator

import "container/list"

// store is a cache server's kept objects, the least recently used leaving first. Values are made anew for each answer,
// so only keys are kept.
type store struct {
	bound int
	order *list.List // of keys, the last used in front
	at    map[string]*list.Element
}

func newStore(bound int) *store {
	return &store{bound: bound, order: list.New(), at: map[string]*list.Element{}}
}

// has tells whether a key is held, and counts it as used.
func (s *store) has(key string) bool {
	e := s.at[key]
	if e != nil {
		s.order.MoveToFront(e)
	}
	return e != nil
}

func (s *store) put(key string) {
	if s.has(key) || s.bound <= 0 {
		return
	}
	for len(s.at) >= s.bound {
		s.drop(s.order.Back().Value.(string))
	}
	s.at[key] = s.order.PushFront(key)
}

func (s *store) drop(key string) {
	if e := s.at[key]; e != nil {
		s.order.Remove(e)
		delete(s.at, key)
	}
}

// memory is what a group of cache servers knows of numbered operations: which marks it took, when, and what it answered.
type dedupTable struct {
	entries map[string]dedupEntry
	order   []string // as they came
}

type dedupEntry struct {
	expires float64
	receipt string
}

// repeat gives the receipt of a mark that was taken within its window.
func (m *dedupTable) lookup(now float64, key string) (receipt string, known bool) {
	entry, known := m.entries[key]
	return entry.receipt, known && now < entry.expires
}

// take remembers a mark, and forgets those whose window is over.
func (m *dedupTable) add(now float64, key, receipt string, window float64) {
	for len(m.order) > 0 && m.entries[m.order[0]].expires <= now {
		delete(m.entries, m.order[0])
		m.order = m.order[1:]
	}
	m.entries[key] = dedupEntry{now + window, receipt}
	m.order = append(m.order, key)
}
