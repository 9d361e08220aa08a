package turnstore

// quorum counts positive and negative responses of stores in each of some replica sets. It is reached once every set has
// the required number of positive ones. It is pure.
type quorum struct {
	groups    []ReplicaSet
	required  func(ReplicaSet) int
	responses map[string]bool // by store ID; absent: no response yet
}

func majority(c ReplicaSet) int { return c.Majority() }

// newQuorum returns a quorum over replica sets; required returns how many positive responses each needs.
func newQuorum(groups []ReplicaSet, required func(ReplicaSet) int) *quorum {
	return &quorum{groups: groups, required: required, responses: map[string]bool{}}
}

// record takes the response of a store. A positive one is never overwritten.
func (q *quorum) record(store string, ok bool) {
	if !q.responses[store] {
		q.responses[store] = ok
	}
}

// state reports whether the quorum is reached, and whether it is impossible with the responses so far. A set that
// requires no response, as it has no stores, makes it impossible.
func (q *quorum) state() (reached, impossible bool) {
	reached = true
	for _, g := range q.groups {
		positive, open := 0, 0
		for _, s := range g {
			switch ok, responded := q.responses[s.ID]; {
			case ok:
				positive++
			case !responded:
				open++
			}
		}
		n := q.required(g)
		if n == 0 || positive < n {
			reached = false
		}
		if positive+open < n || n == 0 {
			impossible = true
		}
	}
	return reached, impossible
}
