package turnstore

import (
	"strings"
	"testing"
)

func TestRowKeyRoundTrip(t *testing.T) {
	for _, c := range [][2]string{{"", ""}, {"p", "t"}, {strings.Repeat("p", 300), "t\x00u"}, {"p", ""}} {
		program, turn, err := parseRowKey(rowKey(c[0], c[1]))
		if err != nil || program != c[0] || turn != c[1] {
			t.Errorf("%q: %q %q %v", c, program, turn, err)
		}
	}
	for _, bad := range [][]byte{nil, {5, 'a'}, {0xff}} {
		if _, _, err := parseRowKey(bad); err == nil {
			t.Errorf("%x is taken for a row's key", bad)
		}
	}
}
