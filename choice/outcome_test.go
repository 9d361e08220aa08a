package choice

import (
	"fmt"
	"testing"
	"time"
)

// One row for each outcome and effect of a message.
func TestOutcomeDecidesRetryOrFinalAnswer(t *testing.T) {
	for _, tc := range []struct {
		class   int
		outcome Outcome
		want    string // immediate final answer; "again" for a retry
	}{
		{0, Error, "again"}, {0, Timeout, "again"}, {0, Reset, "again"}, {0, NoConnection, "again"},
		{1, Error, "again"}, {1, Timeout, "again"}, {1, NotSent, "again"},
		{0, Spoilt, "again"}, {2, Spoilt, "fail m;"}, {2, Error, "fail m;"}, {2, Timeout, "fail m;"},
		{2, Reset, "fail m;"}, {2, Cancelled, "fail m;"},
		{2, NoConnection, "again"}, {2, Refused, "again"}, {2, NotSent, "again"},
	} {
		t.Run(fmt.Sprintf("class%d-outcome%d", tc.class, tc.outcome), func(t *testing.T) {
			r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
			if sent := len(sends(r.step(arrival("m", tc.class)))); sent != 1 {
				t.Fatalf("%d sends for an arrival, want 1", sent)
			}
			r.now += 50 * ms
			actions := r.step(r.result("m", "a", tc.outcome))
			got := finalAnswers(actions)
			if tc.want == "again" {
				actions = append(actions, r.advance(3*time.Second)...)
				if got = finalAnswers(actions); got != "" || len(sends(actions)) != 1 {
					t.Errorf("answers %q, %d sends, want one more send", got, len(sends(actions)))
				}
			} else if got != tc.want || len(sends(actions)) != 0 {
				t.Errorf("answers %q, want %q", got, tc.want)
			}
		})
	}
}

func TestPendingMessageIsAnsweredByItsDeadline(t *testing.T) {
	r := newHarness(t, settings()) // no host at all
	r.step(arrival("m", 2))
	if got := finalAnswers(r.advance(9900 * ms)); got != "" {
		t.Fatalf("answered early: %q", got)
	}
	if got := finalAnswers(r.advance(100 * ms)); got != "refuse m;" {
		t.Errorf("at the deadline %q, want a refusal", got)
	}
	if len(r.c.messages) != 0 || r.c.pending != 0 {
		t.Errorf("%d messages kept, %d pending after the answer", len(r.c.messages), r.c.pending)
	}
}

func TestKeyedRetryStaysInZoneAndWindow(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 2, 0), readyHost("b", 1, 2, 1))
	first := sends(r.step(arrival("m", 1)))[0].Host
	r.now += 50 * ms
	actions := r.step(r.result("m", first, Error))
	actions = append(actions, r.advance(2800*ms)...)
	for _, send := range sends(actions) {
		if send.Host != first {
			t.Errorf("resent to %s, outside the zone of %s", send.Host, first)
		}
	}
	if len(sends(actions)) != 1 {
		t.Fatalf("%d sends within the window, want 1", len(sends(actions)))
	}
	r.now += 100 * ms
	actions = r.step(r.result("m", first, Error))
	if got := finalAnswers(append(actions, r.advance(time.Second)...)); got != "fail m;" {
		t.Errorf("after its window %q, want it failed", got)
	}
}

func TestRetryAfterIsRespected(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	r.step(arrival("m", 0))
	r.now += 50 * ms
	actions := r.step(r.result("m", "a", Refused, func(e *Result) { e.Wait = 700 * ms }), arrival("n", 2))
	if actions = append(actions, r.advance(695*ms)...); len(sends(actions)) != 0 {
		t.Errorf("%d sends within the wait", len(sends(actions)))
	}
	if len(sends(r.advance(2*time.Second))) == 0 {
		t.Errorf("nothing sent after the wait")
	}
}

func TestOrderingKeySendsOneMessageAtATime(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	msg, second := arrival("m", 3), arrival("n", 3)
	msg.Key, second.Key = "k", "k"
	if got := sends(r.step(msg, second)); len(got) != 1 || got[0].ID != "m" {
		t.Fatalf("sent %v, want m alone", got)
	}
	r.now += 50 * ms
	actions := r.step(r.result("m", "a", Reset))
	if actions = append(actions, r.advance(95*ms)...); len(sends(actions)) != 0 {
		t.Errorf("sent %v while the key rests", sends(actions))
	}
	if got := sends(r.advance(3 * time.Second)); len(got) != 1 || got[0].ID != "n" {
		t.Errorf("sent %v after the rest, want n", got)
	}
	r.step(r.result("n", "a", Served))
	r.advance(200 * ms)
	if len(r.c.keyOrders) != 0 {
		t.Errorf("%d keys kept", len(r.c.keyOrders))
	}
}
