package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSources bounds the number of known core nodes; a system has about eight.
const maxSources = 64

// sources are the core nodes that a follower knows, ordered by rendezvous hashing of the follower's name, and the current
// one. It makes no calls. It must have at least one core node.
type sources struct {
	name     string   // of the follower; determines the order
	seeds    []string // core nodes of the settings, added again when all known ones have failed
	cores    []string // all known core nodes in the follower's order
	position int      // of the current source in cores
}

func newSources(name string, seeds []string) *sources {
	s := &sources{name: name}
	s.setSeeds(seeds)
	return s
}

// current returns the core node that is the follower's source.
func (s *sources) current() string { return s.cores[s.position%len(s.cores)] }

// advance selects the next core node in the order.
func (s *sources) advance() { s.position = (s.position + 1) % len(s.cores) }

// setCurrent selects a core node, or the first one of the order if it is unknown.
func (s *sources) setCurrent(core string) { s.position = max(0, slices.Index(s.cores, core)) }

// preferred returns the first core node of the order: the follower starts with it and fails back to it.
func (s *sources) preferred() string { return s.cores[0] }

// startingAtCurrent returns all core nodes in cyclic order, starting with the current one.
func (s *sources) startingAtCurrent() []string {
	at := s.position % len(s.cores)
	return slices.Concat(s.cores[at:], s.cores[:at])
}

// setSeeds replaces the seeds and adds the new ones to the known core nodes.
func (s *sources) setSeeds(seeds []string) {
	s.seeds = slices.Clone(seeds)
	s.add(seeds)
}

// add adds core nodes, which may no longer exist, up to maxSources.
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
	s.setSorted(all, current)
}

// replace replaces all core nodes with the members that a confirmed response named, and selects its sender, which remains
// known even if it is not a member.
func (s *sources) replace(cores []string, source string) {
	if len(cores) == 0 {
		return
	}
	all := slices.Clone(cores)
	if !slices.Contains(all, source) {
		all = append(all, source)
	}
	s.setSorted(all, source)
}

// setSorted sorts the core nodes into the follower's order and selects the current one. The order depends on the
// follower's name, so that followers spread over the core nodes.
func (s *sources) setSorted(cores []string, current string) {
	rank := func(core string) uint64 { return xxhash.Sum64String(s.name + "\x00" + core) }
	slices.SortFunc(cores, func(a, b string) int { return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b)) })
	s.cores = slices.Compact(cores)
	s.setCurrent(current)
}

// next returns the core node that follows the given one in the cyclic order.
func (s *sources) next(core string) string {
	return s.cores[(slices.Index(s.cores, core)+1)%len(s.cores)]
}
