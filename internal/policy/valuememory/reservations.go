package valuememory

// Reservations bounds the memory that is reserved for one kind of value, over all connections and pools. The zero value
// refuses everything.
type Reservations struct {
	limit   int // bytes
	used    int // bytes
	refused uint64
}

// NewReservations returns reservations of at most limit bytes, with nothing reserved.
func NewReservations(limit int) *Reservations { return &Reservations{limit: limit} }

// SetLimit changes the limit, in bytes. What is reserved beyond it stays reserved.
func (r *Reservations) SetLimit(bytes int) { r.limit = bytes }

// Reserve reserves memory, and reports whether there was enough.
func (r *Reservations) Reserve(bytes int) bool {
	if r.used+bytes > r.limit {
		r.Refuse()
		return false
	}
	r.used += bytes
	return true
}

// Refuse counts a value for which there is no memory for another reason.
func (r *Reservations) Refuse() { r.refused++ }

// Release frees reserved memory.
func (r *Reservations) Release(bytes int) { r.used -= bytes }

// Used returns the bytes that are reserved.
func (r *Reservations) Used() int { return r.used }

// Refused returns how often there was not enough memory, since the start.
func (r *Reservations) Refused() uint64 { return r.refused }
