package console

import (
	"context"
	"strings"
	"testing"

	"github.com/charmbracelet/x/ansi"
	"pgregory.net/rapid"

	"larchrouter/internal/relay/adminapi"
)

// At any size and with any contents the screen has exactly its lines, none wider than it, and the selected row is visible
// without colour.
func TestScreenFitsAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-zA-Z0-9-]{1,100}`)
		n := rapid.IntRange(0, 30)
		m := NewModel(context.Background(), nil, "test")
		m.width, m.height = rapid.IntRange(1, 200).Draw(t, "width"), rapid.IntRange(1, 60).Draw(t, "height")
		m.screen = screen(rapid.IntRange(0, 3).Draw(t, "screen"))
		m.help = rapid.Bool().Draw(t, "help")
		if rapid.Bool().Draw(t, "ask") {
			m.confirm = &confirmation{title: name.Draw(t, "title"), lines: []string{name.Draw(t, "line")},
				ready: rapid.Bool().Draw(t, "ready")}
		}
		m.editingFilter, m.filterInput, m.notice = rapid.Bool().Draw(t, "typing"), name.Draw(t, "typed"), name.Draw(t, "notice")
		d := dataMsg{screen: m.screen, at: m.now, page: &adminapi.Page{}, query: m.pageQuery()}
		d.status = adminapi.Status{API: 1, Phase: rapid.SampledFrom([]string{"", "serving", "draining", "drained",
			"stopping"}).Draw(t, "phase"),
			Held: n.Draw(t, "held"), HeldMost: 10, Series: make([]adminapi.Second,
				n.Draw(t, "seconds")), Left: &adminapi.Left{Messages: 3, IDs: []string{"a"}}}
		for range n.Draw(t, "drains") {
			d.status.Drains = append(d.status.Drains,
				adminapi.Drained{Target: "partner:" + name.Draw(t, "drained"), By: "someone"})
		}
		for range n.Draw(t, "partners") {
			p := adminapi.Partner{Name: name.Draw(t, "partner"), Classes: []string{name.Draw(t, "class")},
				Drained: rapid.Bool().Draw(t, "drained")}
			for range rapid.IntRange(0, 3).Draw(t, "endpoints") {
				p.Endpoints = append(p.Endpoints, adminapi.Endpoint{ID: name.Draw(t, "id"), State: "drained", Health: "suspect",
					Why: name.Draw(t, "why"), WaitMs: 5})
			}
			d.partners = append(d.partners, p)
		}
		for range n.Draw(t, "messages") {
			d.page.Messages = append(d.page.Messages,
				adminapi.Message{ID: name.Draw(t, "id"), State: "waiting", Why: name.Draw(t, "why")})
		}
		for i := range n.Draw(t, "log") {
			d.log = append(d.log, adminapi.LogLine{N: uint64(i + 1), Level: "WARN", Text: name.Draw(t, "text")})
		}
		m.message = adminapi.Message{ID: "x", State: "out", Why: name.Draw(t, "why"),
			Attempts: make([]adminapi.Attempt, n.Draw(t, "attempts"))}
		m.Update(d)
		for range n.Draw(t, "keys") {
			k := rapid.SampledFrom([]string{"down", "up", "pgdown", "pgup", "home", "end", "j", "k"}).Draw(t, "key")
			m.Update(keyMsg(k))
			lines := m.lines()
			if m.width >= 20 && m.height >= 5 && len(lines) != m.height {
				t.Fatalf("%d lines on a screen of %d", len(lines), m.height)
			}
			for _, l := range lines {
				if w := ansi.StringWidth(l); w > m.width {
					t.Fatalf("a line of %d on a screen of %d: %q", w, m.width, l)
				}
			}
			plain := ansi.Strip(strings.Join(lines, "\n"))
			if list := m.screen == partners || m.screen == messages; list && m.rowCount() > 0 && m.confirm == nil && !m.help && !m.editingFilter &&
				m.width >= 60 && m.height >= 12 && !strings.Contains(plain, "\n> ") {
				t.Fatalf("the selected row is not visible:\n%s", plain)
			}
		}
	})
}
