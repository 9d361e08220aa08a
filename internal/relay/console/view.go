package console

import (
	"fmt"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"github.com/charmbracelet/x/ansi"
)

// Styles. Colours only repeat what the text says, for terminals without colour.
var (
	boldStyle     = lipgloss.NewStyle().Bold(true)
	dimStyle      = lipgloss.NewStyle().Faint(true)
	goodStyle     = lipgloss.NewStyle().Foreground(lipgloss.Color("2"))
	warnStyle     = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
	badStyle      = lipgloss.NewStyle().Foreground(lipgloss.Color("1")).Bold(true)
	selectedStyle = lipgloss.NewStyle().Reverse(true)
)

// View implements tea.Model.
func (m *Model) View() tea.View {
	v := tea.NewView(strings.Join(m.lines(), "\n"))
	v.AltScreen = true
	v.WindowTitle = "larchrouter"
	return v
}

// lines returns the screen: one line per row of the terminal, none wider than it.
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

// header returns the line with the names of the screens.
func (m *Model) header() string {
	tabs := ""
	for s, name := range []string{"1 overview", "2 partners", "3 messages", "4 fleet"} {
		if screen(s) == m.screen || m.screen == detail && screen(s) == messages {
			name = selectedStyle.Render("[" + name + "]")
		} else {
			name = " " + name + " "
		}
		tabs += name
	}
	return boldStyle.Render("larchrouter") + " " + tabs + " ? help"
}

// banner returns the line with the phase of the relay, or the reason why the shown data is stale.
func (m *Model) banner() string {
	old := m.now.Sub(m.lastAnswerAt)
	switch {
	case m.lastAnswerAt.IsZero() && m.pollError == "":
		return "connecting ..."
	case m.lastAnswerAt.IsZero():
		return badStyle.Render("NOT CONNECTED: " + m.pollError + "; trying again")
	case m.pollError != "":
		return badStyle.Render(fmt.Sprintf("OLD: shown as of %s, %s ago: %s; trying again",
			m.lastAnswerAt.Format(time.TimeOnly), Span(old.Milliseconds()), m.pollError))
	case old > staleAfter:
		return badStyle.Render(fmt.Sprintf("OLD: shown as of %s, %s ago", m.lastAnswerAt.Format(time.TimeOnly),
			Span(old.Milliseconds())))
	}
	s := m.status
	phase := goodStyle.Render(Phase(s))
	if s.Phase != "serving" {
		phase = warnStyle.Render("NOT SERVING: " + Phase(s))
	}
	text := fmt.Sprintf("%s on %s, up %s", phase, s.Listen, Span(s.UpMs))
	if s.Journal.Trouble != "" {
		text = badStyle.Render("TAKES NOTHING NEW ON: "+s.Journal.Trouble) + "; " + text
	}
	if n := len(s.Drains); n > 0 {
		text += warnStyle.Render(fmt.Sprintf("; %d drained", n))
	}
	if s.Unhealthy > 0 {
		text += warnStyle.Render(fmt.Sprintf("; %d of %d endpoints not healthy", s.Unhealthy, s.Endpoints))
	}
	return text
}

// body returns the lines between banner and footer.
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

// footer returns the line with the result of the last action, or the filter while it is edited.
func (m *Model) footer() string {
	if m.editingFilter {
		text := "filter: " + m.filterInput + "_"
		if m.notice != "" {
			text += "   " + badStyle.Render(m.notice)
		}
		return text
	}
	text := m.notice
	if f := m.drainProgress(); f != "" {
		text += "; " + f
	}
	return boldStyle.Render(text)
}

// keyHelp returns the line with the keys that have a meaning now.
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
	return dimStyle.Render(text)
}

// confirmationLines returns the consequences of the action that waits for confirmation.
func (m *Model) confirmationLines() []string {
	all := []string{"", boldStyle.Render("  " + m.confirm.title + "?"), ""}
	if !m.confirm.ready {
		return append(all, "  asking what that would mean ...")
	}
	for _, l := range m.confirm.lines {
		for _, part := range strings.Split(ansi.Wordwrap(l, max(10, m.width-4), ""), "\n") {
			all = append(all, "  "+part)
		}
	}
	return append(all, "", boldStyle.Render("  y: do it    n: leave it"))
}

// renderRow marks the selected row, also without colour.
func renderRow(is bool, text string) string {
	if is {
		return selectedStyle.Render("> " + text)
	}
	return "  " + text
}
