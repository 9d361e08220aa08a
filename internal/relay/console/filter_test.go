package console

import (
	"testing"
	"time"

	"larchrouter/internal/relay/adminapi"
)

// A filter sets its fields, keeps none of the previous ones, and rejects unknown words.
func TestParseFilter(t *testing.T) {
	q, err := parseFilter("partner=pay  state=waiting older=1m30s abc", adminapi.Query{Class: "old"})
	if want := (adminapi.Query{Partner: "pay", State: "waiting", Older: 90 * time.Second,
		IDPrefix: "abc"}); err != nil || q != want {
		t.Errorf("%+v, %v, want %+v", q, err, want)
	}
	for _, bad := range []string{"state=lost", "older=x", "older=-1s", "colour=red"} {
		if _, err := parseFilter(bad, adminapi.Query{}); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
