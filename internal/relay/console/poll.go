package console

import (
	"context"
	"time"

	tea "charm.land/bubbletea/v2"

	"larchrouter/internal/relay/adminapi"
)

// fetch requests the data of the present screen now. It replaces the present chain of polls.
func (m *Model) fetch() tea.Cmd {
	m.generation++
	return m.call(m.generation)
}

// call returns the command that requests the data of the present screen.
func (m *Model) call(generation int) tea.Cmd {
	d := dataMsg{generation: generation, screen: m.screen, id: m.messageID, query: m.pageQuery()}
	after := uint64(0)
	if n := len(m.log); n > 0 {
		after = m.log[n-1].N
	}
	ctx, api := m.ctx, m.api
	return func() tea.Msg {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var o adminapi.Overview
		o, d.err = api.Overview(ctx, after)
		d.status, d.partners, d.log = o.Status, o.Partners, o.Log
		if d.err == nil && d.screen == messages {
			var p adminapi.Page
			if p, d.err = api.Messages(ctx, d.query); d.err == nil {
				d.page = &p
			}
		}
		if d.err == nil && d.screen == fleet {
			var f adminapi.Fleet
			if f, d.err = api.Fleet(ctx); d.err == nil {
				d.fleet = &f
			}
		}
		if d.err == nil && d.screen == detail {
			var one adminapi.Message
			one, err := api.Message(ctx, d.id)
			if d.message = &one; err != nil {
				d.message, d.err = nil, err
			}
		}
		d.at = time.Now()
		return d
	}
}

// pageQuery returns the query of the page that is selected.
func (m *Model) pageQuery() adminapi.Query {
	q := m.query
	q.Ended, q.Newest, q.Limit = m.showCompleted, m.sortOrder == 1, pageSize
	if n := len(m.pageCursors); n > 0 {
		q.Cursor = m.pageCursors[n-1]
	}
	return q
}
