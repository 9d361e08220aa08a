package console

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/relay/adminapi"
)

// parseFilter parses a filter such as "partner=pay state=waiting older=5s". A word without "=" is a prefix of an id. The other
// fields of the query are kept.
func parseFilter(text string, q adminapi.Query) (adminapi.Query, error) {
	q.Partner, q.Class, q.State, q.Older, q.IDPrefix = "", "", "", 0, ""
	for _, word := range strings.Fields(text) {
		name, value, is := strings.Cut(word, "=")
		switch {
		case !is:
			q.IDPrefix = word
		case name == "partner":
			q.Partner = value
		case name == "class":
			q.Class = value
		case name == "state" && slices.Contains(adminapi.States, value):
			q.State = value
		case name == "state":
			return q, fmt.Errorf("state is %q, must be one of %s", value, strings.Join(adminapi.States, ", "))
		case name == "older":
			d, err := time.ParseDuration(value)
			if err != nil || d < 0 {
				return q, fmt.Errorf("older is %q, must be a time such as 5s", value)
			}
			q.Older = d
		default:
			return q, fmt.Errorf("%q is no filter: partner=, class=, state=, older= and the beginning of an id are", word)
		}
	}
	return q, nil
}
