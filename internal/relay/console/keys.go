package console

import (
	tea "charm.land/bubbletea/v2"

	"larchrouter/internal/relay/adminapi"
)

// handleKey handles a key press.
func (m *Model) handleKey(k string) tea.Cmd {
	if k == "ctrl+c" {
		return tea.Quit
	}
	switch {
	case m.confirm != nil:
		return m.handleConfirmKey(k)
	case m.editingFilter:
		return m.handleFilterKey(k)
	case m.help:
		m.help = false
		return nil
	}
	switch k {
	case "q":
		return tea.Quit
	case "?", "h":
		m.help = true
	case "1":
		return m.switchTo(overview)
	case "2":
		return m.switchTo(partners)
	case "3":
		return m.switchTo(messages)
	case "4":
		return m.switchTo(fleet)
	case "tab":
		return m.switchTo((m.screen%detail + 1) % detail)
	case "esc", "backspace", "left":
		if m.screen == detail {
			return m.switchTo(messages)
		}
		m.notice, m.watchedDrain = "", ""
	case "r":
		return m.fetch()
	case "D":
		return m.confirmDrain("relay", false)
	case "U":
		return m.confirmDrain("relay", true)
	case "S":
		return m.confirmStop()
	default:
		if !m.moveSelection(k) {
			return m.handleListKey(k)
		}
	}
	m.clampSelection()
	return nil
}

// moveSelection moves the selected row, and reports whether the key is one that does. The row may be out of range then.
func (m *Model) moveSelection(k string) bool {
	switch k {
	case "up", "k":
		m.selected--
	case "down", "j":
		m.selected++
	case "pgup":
		m.selected -= m.visibleRows()
	case "pgdown", "space":
		m.selected += m.visibleRows()
	case "home", "g":
		m.selected = 0
	case "end", "G":
		m.selected = m.rowCount() - 1
	default:
		return false
	}
	return true
}

// handleListKey handles a key that has a meaning on one screen only.
func (m *Model) handleListKey(k string) tea.Cmd {
	switch {
	case m.screen == partners && (k == "d" || k == "u"):
		if all := m.targets(); m.selected < len(all) {
			return m.confirmDrain(all[m.selected].String(), k == "u")
		}
	case m.screen == partners && (k == "enter" || k == "right"): // its messages
		if all := m.targets(); m.selected < len(all) {
			name := all[m.selected].partner.Name
			m.query, m.filter, m.showCompleted, m.pageCursors = adminapi.Query{Partner: name}, "partner="+name, false, nil
			return m.switchTo(messages)
		}
	case m.screen != messages:
	case k == "enter" || k == "right":
		if all := m.pageMessages(); m.selected < len(all) {
			m.messageID = all[m.selected].ID
			m.message = adminapi.Message{ID: m.messageID}
			return m.switchTo(detail)
		}
	case k == "/":
		m.editingFilter, m.filterInput = true, m.filter
	case k == "e":
		m.showCompleted, m.pageCursors, m.selected = !m.showCompleted, nil, 0
		return m.fetch()
	case k == "s":
		m.sortOrder, m.pageCursors, m.selected = (m.sortOrder+1)%len(sortOrders), nil, 0
		return m.fetch()
	case k == "n" && m.page.Next != "" && m.answeredQuery == m.pageQuery():
		m.pageCursors, m.selected = append(m.pageCursors, m.page.Next), 0
		return m.fetch()
	case k == "p" && len(m.pageCursors) > 0:
		m.pageCursors, m.selected = m.pageCursors[:len(m.pageCursors)-1], 0
		return m.fetch()
	}
	return nil
}

// handleFilterKey handles a key while the filter is edited.
func (m *Model) handleFilterKey(k string) tea.Cmd {
	switch k {
	case "esc":
		m.editingFilter = false
	case "enter":
		q, err := parseFilter(m.filterInput, m.query)
		if err != nil {
			m.notice = err.Error()
			return nil
		}
		m.editingFilter, m.filter, m.query, m.pageCursors, m.selected, m.notice = false, m.filterInput, q, nil, 0, ""
		return m.fetch()
	case "backspace":
		if r := []rune(m.filterInput); len(r) > 0 {
			m.filterInput = string(r[:len(r)-1])
		}
	case "ctrl+u":
		m.filterInput = ""
	case "space":
		m.filterInput += " "
	default:
		if r := []rune(k); len(r) == 1 && r[0] >= ' ' && len(m.filterInput) < 200 {
			m.filterInput += k
		}
	}
	return nil
}

// handleConfirmKey handles a key while an action waits for confirmation.
func (m *Model) handleConfirmKey(k string) tea.Cmd {
	switch k {
	case "y", "Y":
		if !m.confirm.ready {
			return nil
		}
		do := m.confirm.action
		m.notice, m.confirm = m.confirm.title+" ...", nil
		return do
	case "n", "N", "esc", "q":
		m.confirm, m.notice = nil, "called off, nothing was done"
	}
	return nil
}
