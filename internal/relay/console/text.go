package console

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/relay/adminapi"
)

// Span formats milliseconds, such as 30ms, 1.5s or 2h05m.
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

// Phase formats the phase of the relay, with the time left in it.
func Phase(s adminapi.Status) string {
	if s.Phase == "draining" || s.Phase == "stopping" {
		return fmt.Sprintf("%s (%s left)", s.Phase, Span(s.UntilMs-s.NowMs))
	}
	return s.Phase
}

// Remark returns why an endpoint gets fewer messages than it could, or "".
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

// Describe returns all details of a message, one per line.
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
		all = append(all, fmt.Sprintf("  %2d  %s  %-20s %s after %s%s", i+1, clock(a.AtMs), a.Endpoint, a.Outcome,
			Span(a.TookMs), ran))
	}
	return all
}

// Consequences describes what a drain or undrain would do, or did.
func Consequences(d adminapi.DrainAnswer, undrain bool) []string {
	did := d.Result != ""
	all := []string{}
	if did {
		all = append(all, fmt.Sprintf("%s: %s", d.Target, d.Result))
	}
	if d.Fleet != nil {
		for _, w := range d.Fleet.Words {
			if w.Subject == d.Target && len(w.Missing) > 0 {
				all = append(all, fmt.Sprintf("heeded by %d of %d relays so far, not yet by %s; see fleet verdicts", len(w.Heeded),
					len(w.Heeded)+len(w.Missing), strings.Join(w.Missing, ", ")))
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
		all = append(all, fmt.Sprintf("%d messages are held, %d calls are out; nothing new is taken on", d.Waiting+d.Out,
			d.Out))
		if d.UntilMs > 0 {
			all = append(all, "they are delivered until "+time.UnixMilli(d.UntilMs).Format(time.TimeOnly)+"; what is left then is named")
		}
	default:
		all = append(all, fmt.Sprintf("%d messages wait for its partner, %d calls are out; nothing new goes to it after %d ms",
			d.Waiting, d.Out, d.GraceMs))
		if d.Last {
			all = append(all, "it is the last open endpoint of its partner: messages for it wait, and end when their time is up")
		}
	}
	return all
}

// Stopping describes what a stop would do, or did.
func Stopping(s adminapi.StopAnswer) string {
	return fmt.Sprintf("%d messages are held, %d calls are out; it ends by %s at the latest, and its next start takes up what is left",
		s.Left.Messages, s.Left.Calls, time.UnixMilli(s.UntilMs).Format(time.TimeOnly))
}

// Left describes what a drain of the relay left over.
func Left(l adminapi.Left) string {
	s := fmt.Sprintf("%d messages, %d calls out", l.Messages, l.Calls)
	var names []string
	for p := range l.Partners {
		names = append(names, p)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.Partners[b], l.Partners[a]),
			cmp.Compare(a, b))
	})
	for _, p := range names {
		s += fmt.Sprintf("; %s %d", p, l.Partners[p])
	}
	if len(l.IDs) > 0 {
		s += "; the oldest: " + strings.Join(l.IDs, " ")
	}
	return s
}

// Why returns why a message was not delivered or is waiting, with the time until the next change.
func Why(m adminapi.Message, nowMs int64) string {
	if m.NextMs == 0 {
		return m.Why
	}
	return m.Why + ", in " + Span(max(0, m.NextMs-nowMs))
}

// YesNo returns "yes" or "no".
func YesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Ago formats the milliseconds since a contact with a relay; negative means never. self marks the relay itself.
func Ago(ms int64, self bool) string {
	switch {
	case self:
		return "this one"
	case ms < 0:
		return "never"
	}
	return Span(ms) + " ago"
}
