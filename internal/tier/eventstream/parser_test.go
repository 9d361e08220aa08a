package eventstream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Events are the same for all piece boundaries.
func TestParserIgnoresPieceBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z :]{0,6}`)
		var text, out strings.Builder
		count := 0
		for range rapid.IntRange(0, 6).Draw(t, "events") {
			eol := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
			if rapid.Bool().Draw(t, "version") {
				text.WriteString("versions: 7" + eol)
			}
			text.WriteString("id: 1" + eol)
			lines := rapid.SliceOfN(word, 0, 3).Draw(t, "lines")
			for _, l := range lines {
				text.WriteString("data: " + l + eol)
			}
			text.WriteString(eol)
			if len(lines) > 0 {
				count++
				out.WriteString(strings.Join(lines, "\n") + "\n")
			}
		}
		e := NewParser(true, Limits{})
		for b := []byte(text.String()); len(b) > 0; {
			n := rapid.IntRange(1, len(b)).Draw(t, "piece")
			e.Write(b[:n])
			b = b[n:]
		}
		e.Finish()
		if e.count != count || string(e.Output()) != out.String() {
			t.Fatalf("%q gives %d events with %q, want %d with %q", text.String(), e.count, e.Output(), count, out.String())
		}
	})
}

func TestParser(t *testing.T) {
	for text, c := range map[string]struct {
		count int
		out   string
	}{
		"":                                {0, ""},
		"data: a\n\ndata:b\n\n":           {2, "a\nb\n"},
		"data:  a \n\n":                   {1, " a \n"},
		"data\n\n":                        {1, "\n"},
		"id: 1\n\n":                       {0, ""},
		": comment\n\n":                   {0, ""},
		"data: a":                         {1, "a\n"},
		"data: a\ndata: b\n":              {1, "a\nb\n"},
		"data: x: y\n\n":                  {1, "x: y\n"},
		"datax: 1\n\nversions: 2\n\n":     {0, ""},
		"versions: 2\nid: 1\ndata: a\n\n": {1, "a\n"},
	} {
		e := NewParser(true, Limits{})
		e.Write([]byte(text))
		e.Finish()
		if e.count != c.count || string(e.Output()) != c.out {
			t.Errorf("%q gives %d events with %q, want %d with %q", text, e.count, e.Output(), c.count, c.out)
		}
	}
}
