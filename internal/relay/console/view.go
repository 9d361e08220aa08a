package console

import (
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"github.com/charmbracelet/x/ansi"

	"larchrouter/internal/relay/adminapi"
)

// Colours only repeat what the text says.
var (
	bold   = lipgloss.NewStyle().Bold(true)
	dim    = lipgloss.NewStyle().Faint(true)
	good   = lipgloss.NewStyle().Foreground(lipgloss.Color("2"))
	warn   = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
	bad    = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
	chosen = lipgloss.NewStyle().Reverse(true)
)

// View implements tea.Model.
func (m *Model) View() tea.View {
	v := tea.NewView(strings.Join(m.lines(), "\n"))
	v.AltScreen = true
	v.WindowTitle = "larchrouter"
	return v
}

// lines are the screen: as many as it is high, none wider than it is.
func (m *Model) lines() []string {
	if m.width < 20 || m.height < 5 {
		return []string{ansi.Truncate("too small", max(1, m.width), "")}
	}
	body := m.body()
	out := []string{m.header(), m.banner()}
	room := m.height - len(out) - 2
	if len(body) > room {
		body = body[:room]
	}
	out = append(out, body...)
	for len(out) < m.height-2 {
		out = append(out, "")
	}
	out = append(out, m.footer(), m.keyHelp())
	for i := range out {
		out[i] = ansi.Truncate(out[i], m.width, "~")
	}
	return out
}

func (m *Model) header() string {
	tabs := ""
	for s, name := range []string{"1 overview", "2 partners", "3 messages", "4 fleet"} {
		if screen(s) == m.screen || m.screen == detail && screen(s) == messages {
			name = chosen.Render("[" + name + "]")
		} else {
			name = " " + name + " "
		}
		tabs += name
	}
	return bold.Render("larchrouter") + " " + tabs + " ? help"
}

// banner says how the relay is, and plainly when what is shown is old.
func (m *Model) banner() string {
	old := m.now.Sub(m.lastAnswerAt)
	switch {
	case m.lastAnswerAt.IsZero() && m.pollError == "":
		return "connecting ..."
	case m.lastAnswerAt.IsZero():
		return bad.Render("NOT CONNECTED: " + m.pollError + "; trying again")
	case m.pollError != "":
		return bad.Render(fmt.Sprintf("OLD: shown as of %s, %s ago: %s; trying again", m.lastAnswerAt.Format(time.TimeOnly), Span(old.Milliseconds()), m.pollError))
	case old > staleAfter:
		return bad.Render(fmt.Sprintf("OLD: shown as of %s, %s ago", m.lastAnswerAt.Format(time.TimeOnly), Span(old.Milliseconds())))
	}
	s := m.status
	phase := good.Render(Phase(s))
	if s.Phase != "serving" {
		phase = warn.Render("NOT SERVING: " + Phase(s))
	}
	text := fmt.Sprintf("%s on %s, up %s", phase, s.Listen, Span(s.UpMs))
	if s.Journal.Trouble != "" {
		text = bad.Render("TAKES NOTHING NEW ON: "+s.Journal.Trouble) + "; " + text
	}
	if n := len(s.Drains); n > 0 {
		text += warn.Render(fmt.Sprintf("; %d drained", n))
	}
	if s.Unhealthy > 0 {
		text += warn.Render(fmt.Sprintf("; %d of %d endpoints not healthy", s.Unhealthy, s.Endpoints))
	}
	return text
}

func (m *Model) body() []string {
	switch {
	case m.confirm != nil:
		return m.confirmationLines()
	case m.help:
		return helpLines(m.screen)
	case m.lastAnswerAt.IsZero():
		return nil
	}
	switch m.screen {
	case partners:
		return m.partnerLines()
	case messages:
		return m.messageLines()
	case detail:
		return m.detailLines()
	case fleet:
		return m.fleetLines()
	}
	return m.overviewLines()
}

// footer shows the outcome of the last action, or the filter that is being typed.
func (m *Model) footer() string {
	if m.editingFilter {
		text := "filter: " + m.filterInput + "_"
		if m.notice != "" {
			text += "   " + bad.Render(m.notice)
		}
		return text
	}
	text := m.notice
	if f := m.drainProgress(); f != "" {
		text += "; " + f
	}
	return bold.Render(text)
}

func (m *Model) keyHelp() string {
	text := "q quit  tab next screen  D drain relay  U undrain it  S stop"
	switch {
	case m.confirm != nil:
		text = "y yes, do it   n no"
	case m.editingFilter:
		text = "enter apply  esc leave it  ctrl+u clear    partner= class= state= older= or an id's beginning"
	case m.help:
		text = "any key: back"
	case m.screen == partners:
		text = "up/down choose  d drain  u undrain  enter its messages  D drain relay  S stop  q quit"
	case m.screen == messages:
		text = "enter history  / filter  s sort  e held/ended  n next page  p page before  q quit"
	case m.screen == detail:
		text = "esc back  r ask again  q quit"
	}
	return dim.Render(text)
}

func (m *Model) confirmationLines() []string {
	all := []string{"", bold.Render("  " + m.confirm.title + "?"), ""}
	if !m.confirm.ready {
		return append(all, "  asking what that would mean ...")
	}
	for _, l := range m.confirm.lines {
		for _, part := range strings.Split(ansi.Wordwrap(l, max(10, m.width-4), ""), "\n") {
			all = append(all, "  "+part)
		}
	}
	return append(all, "", bold.Render("  y: do it    n: leave it"))
}

func helpLines(s screen) []string {
	all := []string{bold.Render("Everywhere"),
		"  1 2 3 4, tab   overview, partners, messages, fleet",
		"  D, U           drain the relay: it takes nothing on and delivers what it holds; undrain it",
		"  S              stop it in order; its next start takes up what is left",
		"  r, esc, q      ask again; back, or clear the line below; quit (the relay goes on)", ""}
	switch s {
	case partners:
		return append(all, bold.Render("Partners"),
			"  A line for each partner, with what waits for it, and below it its endpoints.",
			"  healthy        as the relay's decisions see it: messages go there",
			"  suspect        it failed or stayed silent: single trials only",
			"  recovering     it is back, and gets only what a cold one can take",
			"  d, u           drain or undrain what is chosen: nothing new goes there, calls out are finished",
			"  enter          the messages for it")
	case fleet:
		return append(all, bold.Render("Fleet"),
			"  there          some chain of links joins that relay to this one",
			"  part           what this relay has of a partner's limit, and to whom it is pledged now",
			"  grants here    what others have pledged to this relay: it grants calls on that",
			"  words          what was said for all relays: drain --fleet, fleet gone; and who has not heeded it yet")
	case messages, detail:
		return append(all, bold.Render("Messages"),
			"  waiting        held, no call is out with it",
			"  out            a call with it is out",
			"  delivered      a partner said so",
			"  refused        it never ran, or may be repeated: handing it in again does no harm",
			"  failed         it may have run: nothing is promised",
			"  /              filter, such as: partner=pay state=waiting older=5s, or an id's beginning",
			"  e, s           held or ended; sort (the last two orders are of the page that is shown)",
			"  enter          one message with all its attempts")
	}
	return append(all, bold.Render("Overview"),
		"  The lines draw the last minute, a mark a second, each as high as its share of the largest.",
		"  held           messages taken on that have not ended; oldest: how long one has been held",
		"  calls out      of the slots that the operator's file gives")
}

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
		return fmt.Sprintf("%-14s %7.1f/s  %s", name, last, spark(values, width))
	}
	all := []string{line("taken on", taken), line("delivered", done), line("not delivered", ended), "",
		fmt.Sprintf("%-14s %5d of %-6d %s  oldest %s", "held", s.Held, s.HeldMost, gauge(s.Held, s.HeldMost, 20), Span(s.OldestMs)),
		fmt.Sprintf("%-14s %5d of %-6d %s", "calls out", s.Out, s.Slots, gauge(s.Out, s.Slots, 20)),
		fmt.Sprintf("since start    taken on %d, turned away %d, delivered %d, refused %d, failed %d", s.Totals.Taken, s.Totals.Turned,
			s.Totals.Delivered, s.Totals.Refused, s.Totals.Failed)}
	if s.Left != nil {
		all = append(all, warn.Render("left by the drain: "+Left(*s.Left)))
	}
	for _, d := range s.Drains {
		all = append(all, warn.Render(fmt.Sprintf("drained        %s since %s, by %s", d.Target, time.UnixMilli(d.SinceMs).Format(time.TimeOnly), d.By)))
	}
	for _, t := range m.targets() {
		if t.endpoint != nil && (t.endpoint.Health != "healthy" || t.endpoint.WaitMs > 0) && len(all) < 14 {
			all = append(all, warn.Render(fmt.Sprintf("%-14s %s: %s", t.endpoint.ID, t.endpoint.Health, Remark(*t.endpoint))))
		}
	}
	all = append(all, "", bold.Render("log"))
	room := m.height - 4 - len(all)
	for _, l := range m.log[max(0, len(m.log)-max(0, room)):] {
		text := fmt.Sprintf("%s %-5s %s", time.UnixMilli(l.AtMs).Format(time.TimeOnly), l.Level, l.Text)
		if l.Level != "INFO" {
			text = warn.Render(text)
		}
		all = append(all, text)
	}
	return all
}

// pick marks the chosen row, also without colour.
func pick(is bool, text string) string {
	if is {
		return chosen.Render("> " + text)
	}
	return "  " + text
}

func (m *Model) partnerLines() []string {
	all := []string{bold.Render(fmt.Sprintf("  %-16s %-8s %-11s %4s %8s %8s  %s", "partner/endpoint", "state", "health", "out", "rate/s", "latency", "remark"))}
	rows := m.targets()
	for i := m.firstVisible; i < len(rows) && i < m.firstVisible+m.visibleRows(); i++ {
		t := rows[i]
		if t.endpoint == nil {
			text := fmt.Sprintf("%-16s %d waiting, %d calls out, %s, takes %s", t.partner.Name, t.partner.Waiting, t.partner.Out, t.partner.Kind,
				strings.Join(t.partner.Classes, " "))
			if t.partner.Drained {
				text += ", DRAINED"
			}
			all = append(all, pick(i == m.selected, text))
			continue
		}
		e := t.endpoint
		text := fmt.Sprintf("  %-14s %-8s %-11s %4d %8.1f %6.0fms  %s", e.ID, e.State, e.Health, e.Out, e.Rate, e.LatencyMs, Remark(*e))
		if i != m.selected && (e.Health != "healthy" || e.State != "open") {
			text = warn.Render(text)
		}
		all = append(all, pick(i == m.selected, text))
	}
	if m.selected < len(rows) && rows[m.selected].endpoint != nil { // the whole remark, which a narrow terminal cuts
		e := rows[m.selected].endpoint
		if r := Remark(*e); r != "" {
			all = append(all, "", "  "+e.ID+" at "+e.Address+" in "+e.Zone+":")
			all = append(all, strings.Split(ansi.Wordwrap("  "+r, max(10, m.width-2), ""), "\n")...)
		}
	}
	return all
}

func (m *Model) messageLines() []string {
	what := "held"
	if m.showCompleted || isEnd(m.query.State) {
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
	all := []string{title, bold.Render(fmt.Sprintf("  %-20s %-14s %-12s %-9s %5s %7s  %s", "id", "class", "partner", "state", "tries", "age", "why"))}
	shown := m.pageMessages()
	for i := m.firstVisible; i < len(shown) && i < m.firstVisible+m.visibleRows(); i++ {
		one := shown[i]
		all = append(all, pick(i == m.selected, fmt.Sprintf("%-20s %-14s %-12s %-9s %5d %7s  %s", ansi.Truncate(one.ID, 20, "~"), ansi.Truncate(one.Class, 14, "~"),
			ansi.Truncate(one.Partner, 12, "~"), one.State, one.Tries, Span(m.status.NowMs-one.TakenMs), Why(one, m.status.NowMs))))
	}
	switch {
	case m.answeredQuery != m.pageQuery():
		all = append(all, "  asking ...")
	case len(shown) == 0:
		all = append(all, "  none")
	}
	return all
}

func isEnd(state string) bool {
	return state == adminapi.Delivered || state == adminapi.Refused || state == adminapi.Fails
}

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

func (m *Model) fleetLines() []string {
	f := m.fleet
	if f.Name == "" && len(f.Limits) == 0 {
		return []string{"this relay is of no fleet: its file has no fleet block"}
	}
	var all []string
	if f.Name != "" {
		all = append(all, FleetLine(f), "", bold.Render(fmt.Sprintf("  %-16s %-22s %-6s %-12s %s", "relay", "address", "there", "heard of", "remark")))
	}
	for _, r := range f.Relays {
		text := fmt.Sprintf("  %-16s %-22s %-6s %-12s %s", r.Name, r.Address, YesNo(r.There), Ago(r.HeardMs, r.Self), RelayRemark(r))
		if RelayRemark(r) != "" {
			text = warn.Render(text)
		}
		all = append(all, text)
	}
	for _, v := range f.Versions {
		if v.BehindMs > 0 {
			all = append(all, warn.Render("  "+v.Relay+": "+Lag(v, len(f.Relays))))
		}
	}
	all = append(all, "", bold.Render(fmt.Sprintf("  %-16s %-22s %6s %-12s %11s %8s", "limit of", "told", "part", "pledged to", "grants here", "at most")))
	for _, l := range f.Limits {
		all = append(all, fmt.Sprintf("  %-16s %-22s %6.3f %-12s %11.3f %8.2f", l.Partner, FormatLimit(l), l.Own, l.Steward, l.Granted, l.Over))
	}
	if len(f.Words) > 0 {
		all = append(all, "", bold.Render(fmt.Sprintf("  %-24s %-6s %-28s %s", "words", "holds", "said by", "not heeded yet by")))
	}
	for _, w := range f.Words {
		text := fmt.Sprintf("  %-24s %-6s %-28s %s", w.Subject, YesNo(w.Holds), w.By+" at "+w.Origin, strings.Join(w.Missing, " "))
		if len(w.Missing) > 0 {
			text = warn.Render(text)
		}
		all = append(all, text)
	}
	if len(f.Sights) > 0 {
		all = append(all, "", bold.Render(fmt.Sprintf("  %-24s %-10s %-16s %8s", "endpoint", "seen", "by", "for")))
	}
	for _, s := range f.Sights {
		all = append(all, fmt.Sprintf("  %-24s %-10s %-16s %8s", strings.TrimPrefix(s.Subject, "endpoint:"), FormatSight(s), s.Relay, Span(s.ForMs)))
	}
	return all
}
