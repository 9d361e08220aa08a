package modelhost

import (
	"fmt"
	"testing"
)

func TestPrefixCache(t *testing.T) {
	h := start(t, Options{Model: "m", CacheTokens: 100, Events: 1})
	c := dial(t, h)
	for i, q := range []struct {
		prefix, usage string
		prefill       int
	}{
		{"a:40,b:10", "50,0", 50},
		{"a:40,b:10", "50,0", 0},
		{"a:40,c:5", "45,0", 5},
		{"b:10", "10,0", 10},       // b alone is another prefix
		{"x:50", "50,0", 50},       // evicts the least recently used: a/b, then a
		{"a:40,c:5", "45,0", 45},   // a was evicted, and a/c needs it
		{"", "30,0", 30},           // without parts: all tokens
		{"nonsense", "20,0", 20},   // malformed: the same
		{"d:20,nonsense", "1", 20}, // the parts before the malformed one count
	} {
		id := fmt.Sprint("a", i)
		c.send("POST /t/", id, "", "X-Prompt-Prefix: "+q.prefix, "X-Token-Usage: "+q.usage)
		c.answer()
		want(t, "prefill tokens for "+q.prefix, h.RunLog().ForAttempt(id)[0].PrefillTokens, q.prefill)
	}
}
