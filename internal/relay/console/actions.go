package console

import (
	"context"
	"fmt"
	"time"

	tea "charm.land/bubbletea/v2"

	"larchrouter/internal/relay/adminapi"
)

// confirmDrain asks the relay for the consequences of a drain or undrain, and then the operator for confirmation.
func (m *Model) confirmDrain(target string, undrain bool) tea.Cmd {
	name, do := "drain ", m.api.Drain
	if undrain {
		name, do = "undrain ", m.api.Undrain
	}
	title := name + target
	m.confirm, m.notice, m.watchedDrain = &confirmation{title: title}, "", ""
	ctx, by := m.ctx, m.by
	call := func(q adminapi.DrainRequest) (adminapi.DrainAnswer, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return do(ctx, q)
	}
	q := adminapi.DrainRequest{Target: target, By: by, AllowLast: true} // the consequences mention the last endpoint
	return func() tea.Msg {
		dry := q
		dry.DryRun = true
		d, err := call(dry)
		return confirmMsg{title, Consequences(d, undrain), err, func() tea.Msg {
			d, err := call(q)
			if err != nil {
				return doneMsg{text: title, err: err}
			}
			done := doneMsg{text: fmt.Sprintf("%s: %s at %s", target, d.Result, time.Now().Format(time.TimeOnly))}
			if !undrain {
				done.watchedDrain = target
			}
			return done
		}}
	}
}

// confirmStop asks the relay for the consequences of a stop, and then the operator for confirmation.
func (m *Model) confirmStop() tea.Cmd {
	const title = "stop the relay"
	m.confirm, m.notice, m.watchedDrain = &confirmation{title: title}, "", ""
	ctx, by, api := m.ctx, m.by, m.api
	call := func(dry bool) (adminapi.StopAnswer, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return api.Stop(ctx, adminapi.StopRequest{By: by, DryRun: dry})
	}
	return func() tea.Msg {
		s, err := call(true)
		return confirmMsg{title, []string{Stopping(s), "a stop cannot be undone; start the relay again with larchrouter run"},
			err, func() tea.Msg {
				s, err := call(false)
				if err != nil {
					return doneMsg{text: title, err: err}
				}
				return doneMsg{text: "stopping: " + Stopping(s)}
			}}
	}
}

// drainProgress describes the progress of the drain that was started here.
func (m *Model) drainProgress() string {
	if m.watchedDrain == "" {
		return ""
	}
	if m.watchedDrain == "relay" {
		switch m.status.Phase {
		case "draining":
			return fmt.Sprintf("%d still held, %s left", m.status.Held, Span(m.status.UntilMs-m.status.NowMs))
		case "drained":
			if m.status.Left != nil && m.status.Left.Messages > 0 {
				return "over; left: " + Left(*m.status.Left)
			}
			return "over, nothing is left: it may be stopped"
		}
		return ""
	}
	out, found := 0, false
	for _, t := range m.targets() {
		if t.endpoint != nil && ("endpoint:"+t.endpoint.ID == m.watchedDrain || "partner:"+t.partner.Name == m.watchedDrain) {
			out, found = out+t.endpoint.Out, true
		}
	}
	switch {
	case !found:
		return ""
	case out > 0:
		return fmt.Sprintf("%d calls still out", out)
	}
	return "no call is out there"
}
