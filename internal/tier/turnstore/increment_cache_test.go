package turnstore

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestIncrementCacheStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 4000
		c := newIncrementCache(most)
		model := map[string]string{} // complete histories
		for i := range rapid.IntRange(1, 60).Draw(t, "turns") {
			id := fmt.Sprint("t", i)
			p := &cachedIncrement{key: "p", id: id, bytes: []byte(strings.Repeat(fmt.Sprint(i%10), rapid.IntRange(0,
				400).Draw(t, "size")))}
			if i > 0 && rapid.Bool().Draw(t, "continues") {
				p.previous = fmt.Sprint("t", rapid.IntRange(0, i-1).Draw(t, "previous"))
			}
			model[id] = model[p.previous] + string(p.bytes)
			c.put(p)
			if _, history, ok := c.history(id, time.Now()); ok && string(history) != model[id] {
				t.Fatalf("%s: %q, want %q", id, history, model[id])
			} else if _, had := c.get(p.previous); !ok && (p.previous == "" && c.sizeOf(p) <= most/4) {
				t.Fatalf("%s is not there: %v", id, had)
			}
			sum := 0
			for _, e := range c.byID {
				sum += c.sizeOf(e.Value.(*cachedIncrement))
			}
			if sum != c.bytes || sum > most || c.recency.Len() != len(c.byID) {
				t.Fatalf("%d bytes of %d, counted as %d", sum, most, c.bytes)
			}
		}
	})
}
