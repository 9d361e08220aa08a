package console

import (
	"strings"
	"testing"
	"time"

	"larchrouter/internal/standin"
)

// An operator's session, from the overview to the history of a message, against a relay under load.
func TestOperatorSession(t *testing.T) {
	s, l := newRelay(t, nil)
	s.Hosts["courier-1"].Set(standin.Behaviour{Refuse: true, RetryAfter: time.Hour})
	stop := runLoad(t, l, 50)
	d := startConsole(t, s.Control)
	d.waitFor("serving on "+s.App.Addr(), "taken on", "held", "calls out", "log")
	d.press("2")
	d.waitFor("pay-1", "courier-1", "healthy", "told to wait")
	d.press("?")
	d.waitFor("suspect        it failed or stayed silent", "any key: back")
	d.press("x", "down", "d")
	d.waitFor("drain endpoint:pay-1?", "messages wait for its partner", "nothing new goes to it after 250 ms", "y: do it")
	d.press("n")
	d.waitFor("called off, nothing was done")
	if st, _ := s.Control.Status(t.Context()); len(st.Drains) > 0 {
		t.Fatalf("drained without a yes: %v", st.Drains)
	}
	d.press("d")
	d.waitFor("y: do it")
	d.press("y")
	d.waitFor("endpoint:pay-1: drained at", "no call is out there", "1 drained")
	d.press("d")
	d.waitFor("y: do it")
	d.press("y")
	d.waitFor("endpoint:pay-1: already drained")
	d.press("down", "d")
	d.waitFor("drain endpoint:pay-2?", "the last open endpoint of its partner")
	d.press("esc", "up", "u")
	d.waitFor("undrain endpoint:pay-1?", "y: do it")
	d.press("y")
	d.waitFor("endpoint:pay-1: undrained")
	d.press("3")
	d.waitFor("held, oldest first, page 1", "courier")
	d.press("/")
	for _, k := range strings.Split("state=nonsense", "") {
		d.press(k)
	}
	d.press("enter")
	d.waitFor("must be one of")
	d.press(strings.Split(strings.Repeat("x", 3), "")...)
	for range 30 {
		d.press("backspace")
	}
	for _, k := range strings.Split("partner=courier class=status-update", "") {
		if k == " " {
			k = "space"
		}
		d.press(k)
	}
	d.press("enter")
	d.waitFor("filter partner=courier class=status-update", "waiting")
	if strings.Contains(d.text(), "job-order") {
		t.Errorf("the filter lets others through:\n%s", d.text())
	}
	d.press("enter")
	d.waitFor("state     waiting", "attempts", "courier-1 told to wait")
	d.press("esc", "e")
	d.waitFor("ended, newest first")
	d.press("1", "D")
	d.waitFor("drain relay?", "nothing new is taken on", "y: do it")
	d.press("y")
	d.waitFor("relay: drained", "NOT SERVING: draining (")
	d.press("U")
	d.waitFor("undrain relay?", "y: do it")
	d.press("y")
	d.waitFor("relay: undrained", "serving on")
	stop()
	d.press("S")
	d.waitFor("stop the relay?", "a stop cannot be undone", "y: do it")
	d.press("y")
	d.waitFor("stopping: ")
	<-s.App.Done()
	d.waitFor("OLD: shown as of", "no relay runs there; trying again")
	if err := s.Start(nil); err != nil { // the console reconnects without a key
		t.Fatal(err)
	}
	d.waitFor("serving on " + s.App.Addr())
}
