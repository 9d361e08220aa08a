package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// coresMost bounds the core nodes that are known; there are some eight.
const maxSources = 64

// sources are the core nodes that a follower knows, in its own order, and the one that it follows. It is pure.
type sources struct {
	name     string   // of the follower
	seeds    []string // of its settings: the last resort where all others are gone
	cores    []string
	position int
}

func newSources(name string, seeds []string) *sources {
	s := &sources{name: name}
	s.setSeeds(seeds)
	return s
}

func (s *sources) current() string { return s.cores[s.position%len(s.cores)] }

func (s *sources) advance() { s.position = (s.position + 1) % len(s.cores) }

func (s *sources) use(core string) { s.position = max(0, slices.Index(s.cores, core)) }

// home is the core node with which this follower begins, and to which it returns.
func (s *sources) preferred() string { return s.cores[0] }

// fromCurrent are the core nodes in the follower's own order, from the one that is followed on.
func (s *sources) fromCurrentOn() []string {
	at := s.position % len(s.cores)
	return slices.Concat(s.cores[at:], s.cores[:at])
}

// reseed takes in what settings name, beside those that are known.
func (s *sources) setSeeds(seeds []string) {
	s.seeds = slices.Clone(seeds)
	s.add(seeds)
}

// add takes core nodes in that may or may not be there any more.
func (s *sources) add(cores []string) {
	current := ""
	if len(s.cores) > 0 {
		current = s.current()
	}
	all := slices.Clone(s.cores)
	for _, core := range cores {
		if len(all) < maxSources && !slices.Contains(all, core) {
			all = append(all, core)
		}
	}
	s.setAll(all, current)
}

// replace takes in the members that a fresh source gave: others are forgotten, but for the source itself.
func (s *sources) replace(cores []string, source string) {
	if len(cores) == 0 {
		return
	}
	all := slices.Clone(cores)
	if !slices.Contains(all, source) {
		all = append(all, source)
	}
	s.setAll(all, source)
}

// set has each follower begin at its own place on the ring of core nodes, so that they spread.
func (s *sources) setAll(cores []string, current string) {
	rank := func(core string) uint64 { return xxhash.Sum64String(s.name + "\x00" + core) }
	slices.SortFunc(cores, func(a, b string) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b)) })
	s.cores = slices.Compact(cores)
	s.use(current)
}

// after is the core node that comes behind another one.
func (s *sources) next(core string) string {
	return s.cores[(slices.Index(s.cores, core)+1)%len(s.cores)]
}
