package modelhost

import (
	"strconv"
	"strings"
)

// promptPart is one part of a prompt. Requests share parts, and the host caches them as long as it has capacity.
type promptPart struct {
	id     string
	tokens int
}

// parsePrompt parses the header X-Prompt-Prefix, "ID:TOKENS,ID:TOKENS,...". The first malformed part ends the list.
func parsePrompt(header string) []promptPart {
	var parts []promptPart
	for field := range strings.SplitSeq(header, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if !ok || err != nil || tokens < 0 {
			break
		}
		parts = append(parts, promptPart{id, tokens})
	}
	return parts
}

// parseTokenUsage parses the header X-Token-Usage, "IN,OUT": the tokens of the prompt and the most to be generated.
// Malformed and negative numbers count as 0.
func parseTokenUsage(header string) (in, out int) {
	first, second, _ := strings.Cut(header, ",")
	in, _ = strconv.Atoi(strings.TrimSpace(first))
	out, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(in, 0), max(out, 0)
}

// prefixCache is the memory of a model host, counted in tokens: reservations of running requests, and cached prefixes of
// prompts, which are evicted to make room. The host's lock guards it.
type prefixCache struct {
	capacity int                      // 0 for unbounded
	reserved int                      // by running requests; never evicted
	cached   int                      // in prefixes
	prefixes map[string]*cachedPrefix // by model and the ids of all parts up to this one, joined by "/"
	clock    int                      // counts prefills
}

// cachedPrefix is the last part of a cached prefix.
type cachedPrefix struct {
	tokens  int
	lastUse int // value of the cache's clock
}

// prefill processes a prompt for a model, caches its prefixes, and returns the number of tokens that were not cached.
func (c *prefixCache) prefill(model string, parts []promptPart) (computed int) {
	if c.prefixes == nil {
		c.prefixes = map[string]*cachedPrefix{}
	}
	c.clock++
	key, hit := model, true
	for _, part := range parts {
		key += "/" + part.id
		prefix := c.prefixes[key]
		if hit = hit && prefix != nil; !hit {
			computed += part.tokens
			if prefix == nil {
				prefix = &cachedPrefix{tokens: part.tokens}
				c.prefixes[key] = prefix
				c.cached += part.tokens
			}
		}
		prefix.lastUse = c.clock
	}
	c.evict()
	return computed
}

// reserve reserves tokens for a running request; a negative number returns them.
func (c *prefixCache) reserve(tokens int) { c.reserved += tokens; c.evict() }

// evict evicts the least recently used prefixes until the rest fits; of those with the same last use, the longest first.
func (c *prefixCache) evict() {
	for c.capacity > 0 && c.reserved+c.cached > c.capacity && len(c.prefixes) > 0 {
		victim := ""
		for key, prefix := range c.prefixes {
			oldest := c.prefixes[victim]
			if oldest == nil || prefix.lastUse < oldest.lastUse ||
				prefix.lastUse == oldest.lastUse && (len(key) > len(victim) || len(key) == len(victim) && key > victim) {
				victim = key
			}
		}
		c.cached -= c.prefixes[victim].tokens
		delete(c.prefixes, victim)
	}
}
