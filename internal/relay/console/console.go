// Package console is the relay's console on a terminal: a client of the control API and of nothing else.
// Its model is plain: messages in, text out; calls to the relay are commands that come back as messages.
package console

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"

	"larchrouter/internal/relay/adminapi"
)

// API is what the console needs of a control.Client.
type API interface {
	Overview(ctx context.Context, after uint64) (adminapi.Overview, error)
	Messages(context.Context, adminapi.Query) (adminapi.Page, error)
	Message(ctx context.Context, id string) (adminapi.Message, error)
	Drain(context.Context, adminapi.DrainRequest) (adminapi.DrainAnswer, error)
	Undrain(context.Context, adminapi.DrainRequest) (adminapi.DrainAnswer, error)
	Stop(context.Context, adminapi.StopRequest) (adminapi.StopAnswer, error)
	Fleet(context.Context) (adminapi.Fleet, error)
}

const (
	pollInterval = time.Second
	callTimeout   = 2 * time.Second // for one round of questions
	staleAfter  = 3 * time.Second // what is shown is called old
	maxLogLines   = 200
	pageSize  = 100
)

// Options of Run.
type Options struct {
	By string // names the operator in records
}

// Run shows the console until it is closed, the context ends or the terminal goes away.
func Run(ctx context.Context, api API, o Options) error {
	if o.By == "" {
		o.By = "the console"
	}
	m := NewModel(ctx, api, o.By)
	_, err := tea.NewProgram(m, tea.WithContext(ctx), tea.WithoutSignalHandler()).Run()
	if ctx.Err() != nil || errors.Is(err, tea.ErrInterrupted) || errors.Is(err, os.ErrClosed) || errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

type screen int

const (
	overview screen = iota
	partners
	messages
	fleet
	detail // of one message
)

// sortOrders are the orders of messages; those beyond the first two are of the page that is shown.
var sortOrders = []string{"oldest first", "newest first", "most tries first", "due soonest first"}

// Model is the console's state. Time comes in with messages.
type Model struct {
	ctx context.Context
	api API
	by  string

	width, height int
	now           time.Time
	screen        screen
	help          bool
	generation    int // of the chain of polls; answers of older ones count, but do not go on

	status   adminapi.Status
	partners []adminapi.Partner
	page     adminapi.Page
	answeredQuery    adminapi.Query // that page answers
	message  adminapi.Message
	fleet    adminapi.Fleet
	log      []adminapi.LogLine
	relayStartedMs    int64     // the relay's start, Unix milliseconds
	lastAnswerAt    time.Time // last answer
	pollError  string    // why there is none since

	selected     int // chosen: of partners or messages
	firstVisible     int // first row shown
	query   adminapi.Query
	showCompleted   bool
	sortOrder    int
	filter  string
	editingFilter  bool // the filter is being typed
	filterInput   string
	pageCursors []string // of the pages before this one
	messageID      string   // of the message in detail

	confirm    *confirmation
	notice string
	watchedDrain  string // target whose drain is being followed
}

// confirmation is an action that waits for a yes.
type confirmation struct {
	title string
	lines []string
	ready bool // the consequences are there
	action    func() tea.Msg
}

// NewModel returns a console that has shown nothing yet.
func NewModel(ctx context.Context, api API, by string) *Model {
	return &Model{ctx: ctx, api: api, by: by, width: 80, height: 24, now: time.Now()}
}

// The messages of the console's own.
type (
	pollMsg struct{ generation int }
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
	confirmMsg struct { // the consequences of an action
		title string
		lines []string
		err   error
		action    func() tea.Msg
	}
	doneMsg struct { // what an action did
		text  string
		watchedDrain string
		err   error
	}
)

// Init implements tea.Model.
func (m *Model) Init() tea.Cmd { return m.fetch() }

// fetch asks for what the screen shows. It ends the chain of polls before it.
func (m *Model) fetch() tea.Cmd {
	m.generation++
	return m.call(m.generation)
}

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

// pageQuery is the query of the page that is shown.
func (m *Model) pageQuery() adminapi.Query {
	q := m.query
	q.Ended, q.Newest, q.Limit = m.showCompleted, m.sortOrder == 1, pageSize
	if n := len(m.pageCursors); n > 0 {
		q.Cursor = m.pageCursors[n-1]
	}
	return q
}

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
		case m.confirm == nil: // called off meanwhile
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

// applyData takes in an answer, and goes on with the chain that it belongs to.
func (m *Model) applyData(d dataMsg) tea.Cmd {
	if m.now = time.Now(); d.at.After(m.now) {
		m.now = d.at
	}
	var e *adminapi.Error
	switch {
	case errors.As(d.err, &e) && d.screen == detail && d.status.API > 0: // the relay answers: of that message nothing is known
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
		if began := d.status.NowMs - d.status.UpMs; began > m.relayStartedMs+1000 { // another process: its log has numbers of its own
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
		if len(m.log) > 0 && len(d.log) > 0 && d.log[0].N <= m.log[len(m.log)-1].N { // two answers to the same question, or another relay
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
	m.clampSelection()
	if d.generation != m.generation {
		return nil
	}
	g := d.generation
	return tea.Tick(pollInterval, func(time.Time) tea.Msg { return pollMsg{g} })
}

// sortPage puts the page in the order chosen, where the relay does not.
func (m *Model) sortPage() {
	switch m.sortOrder {
	case 2:
		slices.SortStableFunc(m.page.Messages, func(a, b adminapi.Message) int { return cmp.Compare(b.Tries, a.Tries) })
	case 3:
		slices.SortStableFunc(m.page.Messages, func(a, b adminapi.Message) int { return cmp.Compare(a.DueMs, b.DueMs) })
	}
}

// pageMessages are the messages of the page; none while the answer to another question is all there is.
func (m *Model) pageMessages() []adminapi.Message {
	if m.answeredQuery != m.pageQuery() {
		return nil
	}
	return m.page.Messages
}

// rowCount are how many lines can be chosen on a screen.
func (m *Model) rowCount() int {
	switch m.screen {
	case partners:
		return len(m.targets())
	case messages:
		return len(m.pageMessages())
	}
	return 0
}

// target is one line of the partners' screen.
type target struct {
	partner  *adminapi.Partner
	endpoint *adminapi.Endpoint // nil for the partner's own line
}

func (t target) String() string {
	if t.endpoint != nil {
		return "endpoint:" + t.endpoint.ID
	}
	return "partner:" + t.partner.Name
}

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

// clampSelection keeps the chosen row there, and in sight.
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

// visibleRows is how many rows of a list are in sight.
func (m *Model) visibleRows() int {
	if m.screen == partners { // three lines for the remark of the chosen one
		return max(1, m.height-8)
	}
	return max(1, m.height-6)
}

// switchTo turns to a screen.
func (m *Model) switchTo(s screen) tea.Cmd {
	if s != m.screen {
		m.screen, m.selected, m.firstVisible, m.help = s, 0, 0, false
	}
	return m.fetch()
}

// handleKey takes in a handleKey.
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
	case "D":
		return m.confirmDrain("relay", false)
	case "U":
		return m.confirmDrain("relay", true)
	case "S":
		return m.confirmStop()
	default:
		return m.handleListKey(k)
	}
	m.clampSelection()
	return nil
}

// handleListKey takes in a key that means something on one screen.
func (m *Model) handleListKey(k string) tea.Cmd {
	switch {
	case m.screen == partners && (k == "d" || k == "u"):
		if all := m.targets(); m.selected < len(all) {
			return m.confirmDrain(all[m.selected].String(), k == "u")
		}
	case m.screen == partners && (k == "enter" || k == "right"): // what waits for it
		if all := m.targets(); m.selected < len(all) {
			m.query, m.filter, m.showCompleted, m.pageCursors = adminapi.Query{Partner: all[m.selected].partner.Name}, "partner="+all[m.selected].partner.Name, false, nil
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

// handleFilterKey takes in a key while the filter is typed.
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

// handleConfirmKey takes in a key while a question is open.
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

// confirmDrain asks what a confirmDrain, or an undrain, would mean.
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
	q := adminapi.DrainRequest{Target: target, By: by, AllowLast: true} // the question says so, if it is the last one
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

// confirmStop asks what a confirmStop would mean.
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
		return confirmMsg{title, []string{Stopping(s), "a stop cannot be undone; start the relay again with larchrouter run"}, err, func() tea.Msg {
			s, err := call(false)
			if err != nil {
				return doneMsg{text: title, err: err}
			}
			return doneMsg{text: "stopping: " + Stopping(s)}
		}}
	}
}

// drainProgress tells how the drain that was begun here goes on.
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
