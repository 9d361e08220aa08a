package console

import (
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/x/ansi"

	"larchrouter/internal/relay/adminapi"
)

// overviewLines returns the overview screen: rates, usage, drains, unhealthy endpoints and the log.
func (m *Model) overviewLines() []string {
	s := m.status
	var taken, done, ended []int
	for _, one := range s.Series {
		taken, done, ended = append(taken, one.Taken), append(done, one.Delivered), append(ended, one.Ended)
	}
	width := max(10, min(60, m.width-30))
	line := func(name string, values []int) string {
		last := 0.0
		n := min(5, len(values))
		for _, v := range values[len(values)-n:] {
			last += float64(v) / float64(n)
		}
		return fmt.Sprintf("%-14s %7.1f/s  %s", name, last, sparkline(values, width))
	}
	all := []string{line("taken on", taken), line("delivered", done), line("not delivered", ended), "",
		fmt.Sprintf("%-14s %5d of %-6d %s  oldest %s", "held", s.Held, s.HeldMost, gauge(s.Held, s.HeldMost, 20),
			Span(s.OldestMs)),
		fmt.Sprintf("%-14s %5d of %-6d %s", "calls out", s.Out, s.Slots, gauge(s.Out, s.Slots, 20)),
		fmt.Sprintf("since start    taken on %d, turned away %d, delivered %d, refused %d, failed %d", s.Totals.Taken,
			s.Totals.Turned,
			s.Totals.Delivered, s.Totals.Refused, s.Totals.Failed)}
	if s.Left != nil {
		all = append(all, warnStyle.Render("left by the drain: "+Left(*s.Left)))
	}
	for _, d := range s.Drains {
		all = append(all, warnStyle.Render(fmt.Sprintf("drained        %s since %s, by %s", d.Target,
			time.UnixMilli(d.SinceMs).Format(time.TimeOnly), d.By)))
	}
	for _, t := range m.targets() {
		if t.endpoint != nil && (t.endpoint.Health != "healthy" || t.endpoint.WaitMs > 0) && len(all) < 14 {
			all = append(all, warnStyle.Render(fmt.Sprintf("%-14s %s: %s", t.endpoint.ID, t.endpoint.Health,
				Remark(*t.endpoint))))
		}
	}
	all = append(all, "", boldStyle.Render("log"))
	room := m.height - 4 - len(all)
	for _, l := range m.log[max(0, len(m.log)-max(0, room)):] {
		text := fmt.Sprintf("%s %-5s %s", time.UnixMilli(l.AtMs).Format(time.TimeOnly), l.Level, l.Text)
		if l.Level != "INFO" {
			text = warnStyle.Render(text)
		}
		all = append(all, text)
	}
	return all
}

// partnerLines returns the partner screen, with the full remark of the selected endpoint.
func (m *Model) partnerLines() []string {
	all := []string{boldStyle.Render(fmt.Sprintf("  %-16s %-8s %-11s %4s %8s %8s  %s", "partner/endpoint", "state", "health",
		"out", "rate/s", "latency", "remark"))}
	rows := m.targets()
	for i := m.firstVisible; i < len(rows) && i < m.firstVisible+m.visibleRows(); i++ {
		t := rows[i]
		if t.endpoint == nil {
			text := fmt.Sprintf("%-16s %d waiting, %d calls out, %s, takes %s", t.partner.Name, t.partner.Waiting, t.partner.Out,
				t.partner.Kind,
				strings.Join(t.partner.Classes, " "))
			if t.partner.Drained {
				text += ", DRAINED"
			}
			all = append(all, renderRow(i == m.selected, text))
			continue
		}
		e := t.endpoint
		text := fmt.Sprintf("  %-14s %-8s %-11s %4d %8.1f %6.0fms  %s", e.ID, e.State, e.Health, e.Out, e.Rate, e.LatencyMs,
			Remark(*e))
		if i != m.selected && (e.Health != "healthy" || e.State != "open") {
			text = warnStyle.Render(text)
		}
		all = append(all, renderRow(i == m.selected, text))
	}
	if m.selected < len(rows) && rows[m.selected].endpoint != nil { // the full remark, which a narrow terminal truncates in the list
		e := rows[m.selected].endpoint
		if r := Remark(*e); r != "" {
			all = append(all, "", "  "+e.ID+" at "+e.Address+" in "+e.Zone+":")
			all = append(all, strings.Split(ansi.Wordwrap("  "+r, max(10, m.width-2), ""), "\n")...)
		}
	}
	return all
}

// messageLines returns a page of messages.
func (m *Model) messageLines() []string {
	what := "held"
	if m.showCompleted || isCompletedState(m.query.State) {
		what = "ended"
	}
	title := fmt.Sprintf("%s, %s, page %d", what, sortOrders[m.sortOrder], len(m.pageCursors)+1)
	if what == "ended" && m.sortOrder < 2 {
		title = fmt.Sprintf("ended, newest first, page %d", len(m.pageCursors)+1)
	}
	if m.filter != "" {
		title += ", filter " + m.filter
	}
	if m.page.Next != "" && m.answeredQuery == m.pageQuery() {
		title += ", more on the next"
	}
	all := []string{title, boldStyle.Render(fmt.Sprintf("  %-20s %-14s %-12s %-9s %5s %7s  %s", "id", "class", "partner",
		"state", "tries", "age", "why"))}
	shown := m.pageMessages()
	for i := m.firstVisible; i < len(shown) && i < m.firstVisible+m.visibleRows(); i++ {
		one := shown[i]
		all = append(all, renderRow(i == m.selected,
			fmt.Sprintf("%-20s %-14s %-12s %-9s %5d %7s  %s", ansi.Truncate(one.ID, 20, "~"), ansi.Truncate(one.Class, 14, "~"),
				ansi.Truncate(one.Partner, 12, "~"), one.State, one.Tries, Span(m.status.NowMs-one.TakenMs), Why(one,
					m.status.NowMs))))
	}
	switch {
	case m.answeredQuery != m.pageQuery():
		all = append(all, "  asking ...")
	case len(shown) == 0:
		all = append(all, "  none")
	}
	return all
}

// isCompletedState reports whether a state is that of completed messages.
func isCompletedState(state string) bool {
	return state == adminapi.Delivered || state == adminapi.Refused || state == adminapi.Fails
}

// detailLines returns one message with all its attempts.
func (m *Model) detailLines() []string {
	if m.message.State == "" {
		return []string{"asking for " + m.messageID + " ..."}
	}
	var all []string
	for _, l := range Describe(m.message, time.UnixMilli(m.status.NowMs)) {
		all = append(all, strings.Split(ansi.Wordwrap(l, max(10, m.width-1), ""), "\n")...)
	}
	return all
}

// fleetLines returns the fleet screen.
func (m *Model) fleetLines() []string {
	f := m.fleet
	if f.Name == "" && len(f.Limits) == 0 {
		return []string{"this relay is of no fleet: its file has no fleet block"}
	}
	var all []string
	if f.Name != "" {
		all = append(all, FleetLine(f), "", boldStyle.Render(fmt.Sprintf("  %-16s %-22s %-6s %-12s %s", "relay", "address",
			"there", "heard of", "remark")))
	}
	for _, r := range f.Relays {
		text := fmt.Sprintf("  %-16s %-22s %-6s %-12s %s", r.Name, r.Address, YesNo(r.There), Ago(r.HeardMs, r.Self),
			RelayRemark(r))
		if RelayRemark(r) != "" {
			text = warnStyle.Render(text)
		}
		all = append(all, text)
	}
	for _, v := range f.Versions {
		if v.BehindMs > 0 {
			all = append(all, warnStyle.Render("  "+v.Relay+": "+Lag(v, len(f.Relays))))
		}
	}
	return append(all, fleetTables(f)...)
}

// fleetTables returns the limits, the overrides and the observations of a fleet.
func fleetTables(f adminapi.Fleet) (all []string) {
	all = append(all, "", boldStyle.Render(fmt.Sprintf("  %-16s %-22s %6s %-12s %11s %8s", "limit of", "told", "part",
		"pledged to", "grants here", "at most")))
	for _, l := range f.Limits {
		all = append(all, fmt.Sprintf("  %-16s %-22s %6.3f %-12s %11.3f %8.2f", l.Partner, FormatLimit(l), l.Own, l.Steward,
			l.Granted, l.Over))
	}
	if len(f.Words) > 0 {
		all = append(all, "", boldStyle.Render(fmt.Sprintf("  %-24s %-6s %-28s %s", "words", "holds", "said by",
			"not heeded yet by")))
	}
	for _, w := range f.Words {
		text := fmt.Sprintf("  %-24s %-6s %-28s %s", w.Subject, YesNo(w.Holds), w.By+" at "+w.Origin,
			strings.Join(w.Missing, " "))
		if len(w.Missing) > 0 {
			text = warnStyle.Render(text)
		}
		all = append(all, text)
	}
	if len(f.Sights) > 0 {
		all = append(all, "", boldStyle.Render(fmt.Sprintf("  %-24s %-10s %-16s %8s", "endpoint", "seen", "by", "for")))
	}
	for _, s := range f.Sights {
		all = append(all, fmt.Sprintf("  %-24s %-10s %-16s %8s", strings.TrimPrefix(s.Subject, "endpoint:"), FormatSight(s),
			s.Relay, Span(s.ForMs)))
	}
	return all
}
