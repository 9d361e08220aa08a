package console

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/relay/adminapi"
)

// What the command line and the console say alike.

// Span shows milliseconds as people say them, such as 30ms, 1.5s or 2h05m.
func Span(ms int64) string {
	d := time.Duration(max(0, ms)) * time.Millisecond
	switch {
	case d < time.Second:
		return fmt.Sprintf("%dms", d.Milliseconds())
	case d < 10*time.Second:
		return fmt.Sprintf("%.1fs", d.Seconds())
	case d < time.Minute:
		return fmt.Sprintf("%.0fs", d.Seconds())
	case d < time.Hour:
		return fmt.Sprintf("%dm%02ds", int(d.Minutes()), int(d.Seconds())%60)
	}
	return fmt.Sprintf("%dh%02dm", int(d.Hours()), int(d.Minutes())%60)
}

// Phase tells how far the relay is, with the time that is left for it.
func Phase(s adminapi.Status) string {
	if s.Phase == "draining" || s.Phase == "stopping" {
		return fmt.Sprintf("%s (%s left)", s.Phase, Span(s.UntilMs-s.NowMs))
	}
	return s.Phase
}

// Remark tells why an endpoint gets less than it could.
func Remark(e adminapi.Endpoint) string {
	var all []string
	if e.By != "" {
		all = append(all, "drained: "+e.By)
	}
	if e.WaitMs > 0 {
		all = append(all, "told to wait, "+Span(e.WaitMs)+" more")
	}
	if e.PauseMs > 0 {
		all = append(all, "refused, pause "+Span(e.PauseMs)+" more")
	}
	if e.Health != "healthy" {
		all = append(all, fmt.Sprintf("%s for %s", e.Why, Span(e.ForMs)))
		if e.TrialMs > 0 {
			all = append(all, "next trial in "+Span(e.TrialMs))
		}
	}
	if e.Limit > 0 && e.Limit < 1000 {
		all = append(all, fmt.Sprintf("paced at %.1f/s", e.Limit))
	}
	return strings.Join(all, "; ")
}

// Describe tells all of one message, a line each.
func Describe(m adminapi.Message, now time.Time) []string {
	clock := func(ms int64) string { return time.UnixMilli(ms).Format("15:04:05.000") }
	all := []string{
		fmt.Sprintf("message   %s", m.ID),
		fmt.Sprintf("class     %s, for partner %s, %d bytes", m.Class, m.Partner, m.Bytes),
		fmt.Sprintf("state     %s", m.State),
		fmt.Sprintf("taken on  %s, %s ago; due %s", clock(m.TakenMs), Span(now.UnixMilli()-m.TakenMs), clock(m.DueMs)),
	}
	if m.Key != "" {
		all = append(all, "key       "+m.Key)
	}
	if m.EndedMs > 0 {
		all = append(all, fmt.Sprintf("ended     %s, after %s", clock(m.EndedMs), Span(m.EndedMs-m.TakenMs)))
	}
	if m.Why != "" {
		all = append(all, "why       "+Why(m, now.UnixMilli()))
	}
	if m.AgainMs > 0 {
		all = append(all, "advice    hand it in again after "+Span(m.AgainMs))
	}
	if m.Ran && m.State != adminapi.Delivered {
		all = append(all, "effect    an attempt may have run")
	}
	all = append(all, fmt.Sprintf("attempts  %d", m.Tries))
	for i, a := range m.Attempts {
		ran := ""
		if a.Ran && a.Outcome != "delivered" {
			ran = ", may have run"
		}
		all = append(all, fmt.Sprintf("  %2d  %s  %-20s %s after %s%s", i+1, clock(a.AtMs), a.Endpoint, a.Outcome, Span(a.TookMs), ran))
	}
	return all
}

// Consequences tell what a drain or an undrain means, or did, in numbers.
func Consequences(d adminapi.DrainAnswer, undrain bool) []string {
	did := d.Result != ""
	all := []string{}
	if did {
		all = append(all, fmt.Sprintf("%s: %s", d.Target, d.Result))
	}
	if d.Fleet != nil {
		for _, w := range d.Fleet.Words {
			if w.Subject == d.Target && len(w.Missing) > 0 {
				all = append(all, fmt.Sprintf("heeded by %d of %d relays so far, not yet by %s; see fleet verdicts", len(w.Heeded), len(w.Heeded)+len(w.Missing), strings.Join(w.Missing, ", ")))
			}
		}
	}
	switch {
	case undrain && d.Target == "relay":
		all = append(all, "new messages are taken on again")
	case undrain && strings.Contains(d.Result, "still drained"):
		all = append(all, fmt.Sprintf("%d messages wait for it", d.Waiting))
	case undrain:
		all = append(all, fmt.Sprintf("%d messages wait for it and go again at once", d.Waiting))
		if d.Unhealthy {
			all = append(all, "it was out, and is treated as one that comes back cold")
		}
	case d.Target == "relay":
		all = append(all, fmt.Sprintf("%d messages are held, %d calls are out; nothing new is taken on", d.Waiting+d.Out, d.Out))
		if d.UntilMs > 0 {
			all = append(all, "they are delivered until "+time.UnixMilli(d.UntilMs).Format(time.TimeOnly)+"; what is left then is named")
		}
	default:
		all = append(all, fmt.Sprintf("%d messages wait for its partner, %d calls are out; nothing new goes to it after %d ms", d.Waiting, d.Out, d.GraceMs))
		if d.Last {
			all = append(all, "it is the last open endpoint of its partner: messages for it wait, and end when their time is up")
		}
	}
	return all
}

// Stopping tells what a stop means, or did.
func Stopping(s adminapi.StopAnswer) string {
	return fmt.Sprintf("%d messages are held, %d calls are out; it ends by %s at the latest, and its next start takes up what is left",
		s.Left.Messages, s.Left.Calls, time.UnixMilli(s.UntilMs).Format(time.TimeOnly))
}

// Left tells what a drain of the relay left.
func Left(l adminapi.Left) string {
	s := fmt.Sprintf("%d messages, %d calls out", l.Messages, l.Calls)
	var names []string
	for p := range l.Partners {
		names = append(names, p)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(l.Partners[b], l.Partners[a]), cmp.Compare(a, b)) })
	for _, p := range names {
		s += fmt.Sprintf("; %s %d", p, l.Partners[p])
	}
	if len(l.IDs) > 0 {
		s += "; the oldest: " + strings.Join(l.IDs, " ")
	}
	return s
}

// bars are the heights of a sparkline.
var bars = []rune("▁▂▃▄▅▆▇█")

// spark draws the last values, each as high as its share of the largest.
func spark(values []int, width int) string {
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
		b.WriteRune(bars[v*(len(bars)-1)/most])
	}
	return b.String()
}

// gauge draws a share as a bar of text.
func gauge(part, whole, width int) string {
	n := 0
	if whole > 0 {
		n = min(width, (part*width+whole-1)/whole)
	}
	return "[" + strings.Repeat("#", n) + strings.Repeat(".", width-n) + "]"
}

// parseFilter reads a filter as it is typed: words such as partner=pay state=waiting older=5s; a word without
// "=" is the beginning of an id.
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

// Why tells why a message ended undelivered, or waits, and in how long that changes by itself.
func Why(m adminapi.Message, nowMs int64) string {
	if m.NextMs == 0 {
		return m.Why
	}
	return m.Why + ", in " + Span(max(0, m.NextMs-nowMs))
}

// YesNo says it in a word.
func YesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Ago tells how long ago something was, in milliseconds below 0 for never; a relay hears itself.
func Ago(ms int64, self bool) string {
	switch {
	case self:
		return "this one"
	case ms < 0:
		return "never"
	}
	return Span(ms) + " ago"
}

// FormatLimit is a limit that was told.
func FormatLimit(l adminapi.FleetLimit) string {
	if l.Rate == 0 {
		return "found out"
	}
	text := fmt.Sprintf("%g/s, burst %g", l.Rate, l.Burst)
	if l.AtOnce > 0 {
		text += fmt.Sprintf(", %d at once", l.AtOnce)
	}
	return text
}

// RelayRemark tells what is wrong with a relay of the fleet.
func RelayRemark(r adminapi.FleetRelay) string {
	var all []string
	if r.Gone {
		all = append(all, "said to be gone for good")
	}
	if !r.There && !r.Gone {
		all = append(all, "no chain of links joins it to this one")
	}
	if r.There && r.MetMs < 0 {
		all = append(all, "heard of through others only")
	}
	if r.OtherList {
		all = append(all, "its file has other relays")
	}
	if r.There && !r.Agrees && !r.Self {
		all = append(all, "holds other words")
	}
	return strings.Join(all, "; ")
}

// FleetLine is the fleet in one line.
func FleetLine(f adminapi.Fleet) string {
	there := 0
	for _, r := range f.Relays {
		if r.There {
			there++
		}
	}
	return fmt.Sprintf("%s: %d of %d relays are there; limits are divided into %d parts; in a cut all sides together grant at most what was told, and %.2f times what was found out",
		f.Name, there, len(f.Relays), f.Parts, f.Over)
}

// FormatSight is how a relay sees an endpoint.
func FormatSight(s adminapi.FleetSight) string {
	if s.Out {
		return "out"
	}
	return "well again"
}

// Version is a version as people compare it.
func Version(v adminapi.FleetVersion) string {
	if v.Version == 0 {
		return "-"
	}
	return fmt.Sprintf("%08x", v.Version)
}

// Lag tells how far behind a relay is.
func Lag(v adminapi.FleetVersion, relays int) string {
	if v.State != "behind" {
		return ""
	}
	return fmt.Sprintf("its %s is older than that of %d of %d relays, for %s", v.Kind, v.Newest, relays, Span(v.BehindMs))
}
