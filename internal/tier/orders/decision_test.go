package orders

import (
	"strings"
	"testing"
)

func TestEachKindHasANameAndOneClass(t *testing.T) {
	for k := Accept; k <= Found; k++ {
		if k.String() == "" || strings.HasPrefix(k.String(), "Kind(") {
			t.Errorf("%d has no name", int(k))
		}
		if k.IsRejection() && k.IsAcknowledgement() {
			t.Errorf("%v is a rejection and an acknowledgement", k)
		}
	}
	if got := Kind(99).String(); got != "Kind(99)" {
		t.Error(got)
	}
}
