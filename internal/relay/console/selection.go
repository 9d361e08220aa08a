package console

import (
	tea "charm.land/bubbletea/v2"

	"larchrouter/internal/relay/adminapi"
)

// pageMessages returns the messages of the page, or nil until the selected page was answered.
func (m *Model) pageMessages() []adminapi.Message {
	if m.answeredQuery != m.pageQuery() {
		return nil
	}
	return m.page.Messages
}

// rowCount returns the number of selectable rows of the screen.
func (m *Model) rowCount() int {
	switch m.screen {
	case partners:
		return len(m.targets())
	case messages:
		return len(m.pageMessages())
	}
	return 0
}

// target is a row of the partner screen.
type target struct {
	partner  *adminapi.Partner
	endpoint *adminapi.Endpoint // nil for the partner's own line
}

// String returns the target as drain requests name it.
func (t target) String() string {
	if t.endpoint != nil {
		return "endpoint:" + t.endpoint.ID
	}
	return "partner:" + t.partner.Name
}

// targets returns the rows of the partner screen.
func (m *Model) targets() (all []target) {
	for i := range m.partners {
		p := &m.partners[i]
		all = append(all, target{p, nil})
		for j := range p.Endpoints {
			all = append(all, target{p, &p.Endpoints[j]})
		}
	}
	return all
}

// clampSelection keeps the selected row within the list, and visible.
func (m *Model) clampSelection() {
	m.selected = max(0, min(m.selected, m.rowCount()-1))
	room := m.visibleRows()
	m.firstVisible = max(0, min(m.firstVisible, m.rowCount()-room))
	if m.selected < m.firstVisible {
		m.firstVisible = m.selected
	}
	if m.selected >= m.firstVisible+room {
		m.firstVisible = m.selected - room + 1
	}
}

// visibleRows returns the number of rows of a list that fit on the screen.
func (m *Model) visibleRows() int {
	if m.screen == partners { // reserve three lines for the remark of the selected endpoint
		return max(1, m.height-8)
	}
	return max(1, m.height-6)
}

// switchTo switches to a screen and requests its data.
func (m *Model) switchTo(s screen) tea.Cmd {
	if s != m.screen {
		m.screen, m.selected, m.firstVisible, m.help = s, 0, 0, false
	}
	return m.fetch()
}
