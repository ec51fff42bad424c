package emulator

import "container/list"

// store is a cache server's cache. It evicts the least recently used key first. Values are generated for each answer,
// so only keys are stored.
type store struct {
	bound int
	order *list.List // of keys, the most recently used first
	at    map[string]*list.Element
}

func newStore(bound int) *store {
	return &store{bound: bound, order: list.New(), at: map[string]*list.Element{}}
}

// has reports whether a key is stored, and marks it as used.
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

// dedupTable is the idempotency keys that the cache servers of one deduplication scope have seen, with their expiry
// times and receipts.
type dedupTable struct {
	entries map[string]dedupEntry
	order   []string // keys in order of arrival
}

type dedupEntry struct {
	expires float64
	receipt string
}

// lookup returns the receipt of a key, and whether the key is within its deduplication window.
func (m *dedupTable) lookup(now float64, key string) (receipt string, known bool) {
	entry, known := m.entries[key]
	return entry.receipt, known && now < entry.expires
}

// add stores a key with its receipt, and removes keys whose window has ended.
func (m *dedupTable) add(now float64, key, receipt string, window float64) {
	for len(m.order) > 0 && m.entries[m.order[0]].expires <= now {
		delete(m.entries, m.order[0])
		m.order = m.order[1:]
	}
	m.entries[key] = dedupEntry{now + window, receipt}
	m.order = append(m.order, key)
}
