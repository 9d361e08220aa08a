package modelhost

import (
	"strconv"
	"strings"
)

// promptPart is a promptPart of a prompt: shared between requests, and kept as long as there is room.
type promptPart struct {
	id     string
	tokens int
}

// parsePrompt reads X-Prompt-Prefix; what it cannot read ends them.
func parsePrompt(header string) []promptPart {
	var all []promptPart
	for one := range strings.SplitSeq(header, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(one), ":")
		tokens, err := strconv.Atoi(count)
		if !ok || err != nil || tokens < 0 {
			break
		}
		all = append(all, promptPart{id, tokens})
	}
	return all
}

// parseTokenUsage reads X-Token-Usage: those of the prompt, and the most to be sent out.
func parseTokenUsage(header string) (in, out int) {
	first, second, _ := strings.Cut(header, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(first))
	out, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(in, 0), max(out, 0)
}

// prefixCache is the memory of a model host, in tokens.
type prefixCache struct {
	capacity int // 0 for no bound
	reserved int // by requests that run: it does not give way
	cached   int
	prefixes map[string]*cachedPrefix // by the ids on the way to them
	clock    int
}

type cachedPrefix struct {
	tokens  int
	lastUse int // the turn of its last use
}

// prefill has a prompt prefill for a model, and tells how many tokens no kept part covered.
func (c *prefixCache) prefill(model string, all []promptPart) (fresh int) {
	if c.prefixes == nil {
		c.prefixes = map[string]*cachedPrefix{}
	}
	c.clock++
	way, whole := model, true
	for _, p := range all {
		way += "/" + p.id
		k := c.prefixes[way]
		if whole = whole && k != nil; !whole {
			fresh += p.tokens
			if k == nil {
				k = &cachedPrefix{tokens: p.tokens}
				c.prefixes[way] = k
				c.cached += p.tokens
			}
		}
		k.lastUse = c.clock
	}
	c.evict()
	return fresh
}

// reserve has a request take room while it runs, or give it back.
func (c *prefixCache) reserve(tokens int) { c.reserved += tokens; c.evict() }

// evict has the parts that were unused the longest give way; of those used last together, the later ones first.
func (c *prefixCache) evict() {
	for c.capacity > 0 && c.reserved+c.cached > c.capacity && len(c.prefixes) > 0 {
		oldest := ""
		for way, k := range c.prefixes {
			o := c.prefixes[oldest]
			if o == nil || k.lastUse < o.lastUse || k.lastUse == o.lastUse && (len(way) > len(oldest) || len(way) == len(oldest) && way > oldest) {
				oldest = way
			}
		}
		c.cached -= c.prefixes[oldest].tokens
		delete(c.prefixes, oldest)
	}
}
