package bodydelta

import (
	"encoding/hex"
	"strings"
	"testing"
)

// Deltas go from core nodes to followers, whose versions of the program may differ: these bytes are those of the code before
// it was renamed, and are never written anew for a rename.
func TestDeltasKeepTheirBytes(t *testing.T) {
	old := []byte(strings.Repeat("0123456789abcdef", 8) + "the old middle" + strings.Repeat("fedcba9876543210", 8))
	next := []byte(strings.Repeat("0123456789abcdef", 8) + "another middle, " + strings.Repeat("fedcba9876543210", 8))
	const was = "0148e30e35b66044de0321d53f4b086f432a2db32d9d30a6d1b1f6a71971f78a974f0fe8d7ff333bde0b34aa218d432112744f7fb147af2f4af25722a5b98a2fcf80020021616e6f74686572206d6964646c652c2080021c"
	if got := hex.EncodeToString(Diff(old, next)); got != was {
		t.Errorf("the delta is\n%s, was\n%s", got, was)
	}
	b, err := hex.DecodeString(was)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Apply(old, b, len(next)); err != nil || string(got) != string(next) {
		t.Errorf("the old delta makes %q (%v)", got, err)
	}
}
