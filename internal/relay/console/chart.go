package console

import (
	"strings"
)

// sparkLevels are the levels of a sparkline, lowest first.
var sparkLevels = []rune("▁▂▃▄▅▆▇█")

// sparkline renders the last values, scaled to the largest.
func sparkline(values []int, width int) string {
	if width <= 0 {
		return ""
	}
	values = values[max(0, len(values)-width):]
	most := 1
	for _, v := range values {
		most = max(most, v)
	}
	var b strings.Builder
	for _, v := range values {
		b.WriteRune(sparkLevels[v*(len(sparkLevels)-1)/most])
	}
	return b.String()
}

// gauge renders a share as a bar of text.
func gauge(part, whole, width int) string {
	n := 0
	if whole > 0 {
		n = min(width, (part*width+whole-1)/whole)
	}
	return "[" + strings.Repeat("#", n) + strings.Repeat(".", width-n) + "]"
}
