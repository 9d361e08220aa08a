package config

import "testing"

// The journal and the messages between relays contain the number of a partner instead of its name. The number here is that of
// the code that introduced it.
func TestNumberOfPartnerIsAsFrozen(t *testing.T) {
	if got := Number("acme"); got != 96778814 {
		t.Errorf("number %d, want 96778814", got)
	}
}
