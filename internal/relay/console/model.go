package console

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"

	"larchrouter/internal/relay/adminapi"
)

// screen is one of the screens of the console.
type screen int

const (
	overview screen = iota
	partners
	messages
	fleet
	detail // one message
)

// sortOrders are the orders of messages. The relay sorts by the first two; the others sort the page that is shown.
var sortOrders = []string{"oldest first", "newest first", "most tries first", "due soonest first"}

// Model is the state of the console, after the Elm architecture of bubbletea: messages change it in Update, and View renders it.
// Calls to the relay are commands whose answers come back as messages. It is used by one goroutine only.
type Model struct {
	ctx context.Context
	api API
	by  string

	width, height int
	now           time.Time
	screen        screen
	help          bool
	generation    int // number of the chain of polls; answers of older chains are applied, but not followed by a poll

	status         adminapi.Status
	partners       []adminapi.Partner
	page           adminapi.Page
	answeredQuery  adminapi.Query // the query that page answers
	message        adminapi.Message
	fleet          adminapi.Fleet
	log            []adminapi.LogLine
	relayStartedMs int64     // Unix milliseconds
	lastAnswerAt   time.Time // time of the last answer
	pollError      string    // of the last poll; empty after an answer

	selected      int // row of the partners or messages
	firstVisible  int // first row on the screen
	query         adminapi.Query
	showCompleted bool
	sortOrder     int
	filter        string
	editingFilter bool // the filter input has the focus
	filterInput   string
	pageCursors   []string // one for each page behind the first
	messageID     string   // of the message on the detail screen

	confirm      *confirmation
	notice       string
	watchedDrain string // target of the last drain that was started here
}

// confirmation is an action that waits for the operator to confirm it.
type confirmation struct {
	title  string
	lines  []string
	ready  bool // the consequences are known
	action func() tea.Msg
}

// NewModel returns a model without data. by names the operator in records.
func NewModel(ctx context.Context, api API, by string) *Model {
	return &Model{ctx: ctx, api: api, by: by, width: 80, height: 24, now: time.Now()}
}

// Messages of the console itself.
type (
	// pollMsg starts the next poll of a chain.
	pollMsg struct{ generation int }
	// dataMsg has the answer to a poll.
	dataMsg struct {
		generation int
		screen     screen
		at         time.Time
		err        error
		status     adminapi.Status
		partners   []adminapi.Partner
		page       *adminapi.Page
		message    *adminapi.Message
		fleet      *adminapi.Fleet
		log        []adminapi.LogLine
		id         string
		query      adminapi.Query
	}
	// confirmMsg has the consequences of an action.
	confirmMsg struct {
		title  string
		lines  []string
		err    error
		action func() tea.Msg
	}
	// doneMsg has the result of an action.
	doneMsg struct {
		text         string
		watchedDrain string
		err          error
	}
)

// Init implements tea.Model.
func (m *Model) Init() tea.Cmd { return m.fetch() }

// Update implements tea.Model.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = msg.Width, msg.Height
	case tea.KeyPressMsg:
		return m, m.handleKey(msg.String())
	case tea.PasteMsg:
		if m.editingFilter {
			m.filterInput += strings.Join(strings.Fields(msg.Content), " ")
		}
	case pollMsg:
		if msg.generation == m.generation {
			return m, m.call(msg.generation)
		}
	case dataMsg:
		return m, m.applyData(msg)
	case confirmMsg:
		switch {
		case m.confirm == nil: // cancelled meanwhile
		case msg.err != nil:
			m.confirm, m.notice = nil, msg.title+": "+msg.err.Error()
		default:
			m.confirm.lines, m.confirm.action, m.confirm.ready = msg.lines, msg.action, true
		}
	case doneMsg:
		if m.notice, m.watchedDrain = msg.text, msg.watchedDrain; msg.err != nil {
			m.notice = msg.text + ": " + msg.err.Error()
		}
		return m, m.fetch()
	}
	return m, nil
}

// applyData applies an answer of the relay, and schedules the next poll if the answer belongs to the present chain.
func (m *Model) applyData(d dataMsg) tea.Cmd {
	if m.now = time.Now(); d.at.After(m.now) {
		m.now = d.at
	}
	var e *adminapi.Error
	switch {
	case errors.As(d.err, &e) && d.screen == detail && d.status.API > 0: // the relay answered: the message is unknown
		m.lastAnswerAt, m.pollError, m.status = d.at, "", d.status
		if m.screen == detail && d.id == m.messageID {
			m.message = adminapi.Message{ID: d.id, State: "unknown", Why: e.Text}
		}
	case errors.As(d.err, &e) && e.Code == adminapi.Invalid:
		m.notice = e.Text
		m.pageCursors = nil
	case d.err != nil:
		m.pollError = d.err.Error()
		if errors.Is(d.err, adminapi.ErrNoRelay) {
			m.pollError = "no relay runs there"
		}
	default:
		m.applyAnswer(d)
	}
	m.clampSelection()
	if d.generation != m.generation {
		return nil
	}
	g := d.generation
	return tea.Tick(pollInterval, func(time.Time) tea.Msg { return pollMsg{g} })
}

// applyAnswer applies an answer without an error.
func (m *Model) applyAnswer(d dataMsg) {
	if began := d.status.NowMs - d.status.UpMs; began > m.relayStartedMs+1000 { // the relay restarted: its log starts anew
		m.log, m.relayStartedMs = nil, began
		d.log = nil
	}
	m.lastAnswerAt, m.pollError, m.status = d.at, "", d.status
	if d.fleet != nil {
		m.fleet = *d.fleet
	}
	if d.partners != nil {
		m.partners = d.partners
	}
	if len(m.log) > 0 && len(d.log) > 0 && d.log[0].N <= m.log[len(m.log)-1].N { // a duplicate answer, or another relay
		m.log = nil
	}
	m.log = append(m.log, d.log...)
	m.log = m.log[max(0, len(m.log)-maxLogLines):]
	if d.page != nil && d.query == m.pageQuery() {
		m.page, m.answeredQuery = *d.page, d.query
		m.sortPage()
	}
	if d.message != nil && d.id == m.messageID {
		m.message = *d.message
	}
}

// sortPage sorts the page in the orders that the relay does not support.
func (m *Model) sortPage() {
	switch m.sortOrder {
	case 2:
		slices.SortStableFunc(m.page.Messages, func(a, b adminapi.Message) int { return cmp.Compare(b.Tries, a.Tries) })
	case 3:
		slices.SortStableFunc(m.page.Messages, func(a, b adminapi.Message) int { return cmp.Compare(a.DueMs, b.DueMs) })
	}
}
