package console

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/charmbracelet/x/ansi"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/rig"
	"larchrouter/internal/standin"
)

// The long campaign: go test ./internal/relay/console -run Sessions -v -held 20000 -rate 2000 -rounds 50
var (
	held   = flag.Int("held", 300, "messages held while consoles are used")
	rate   = flag.Float64("rate", 50, "messages a second meanwhile")
	rounds = flag.Int("rounds", 3, "of a scripted session")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// driver runs a model as a program does, without a terminal.
type driver struct {
	t     *testing.T
	m     *Model
	inbox chan tea.Msg
	wg    sync.WaitGroup
	end   context.CancelFunc
}

func drive(t *testing.T, api API) *driver {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &driver{t: t, m: NewModel(ctx, api, "test"), inbox: make(chan tea.Msg, 100), end: cancel}
	d.run(d.m.Init())
	t.Cleanup(d.stop)
	return d
}

func (d *driver) stop() {
	d.end()
	done := make(chan struct{})
	go func() { d.wg.Wait(); close(done) }()
	for {
		select {
		case <-d.inbox:
		case <-done:
			return
		}
	}
}

func (d *driver) run(cmd tea.Cmd) {
	if cmd == nil {
		return
	}
	d.wg.Go(func() { d.inbox <- cmd() })
}

func (d *driver) send(msg tea.Msg) {
	_, cmd := d.m.Update(msg)
	d.run(cmd)
}

// press types keys, named as a terminal names them.
func (d *driver) press(keys ...string) {
	for _, k := range keys {
		d.send(keyMsg(k))
	}
}

func keyMsg(k string) tea.Msg {
	if r := []rune(k); len(r) == 1 {
		return tea.KeyPressMsg{Code: r[0], Text: k}
	}
	code, ok := map[string]rune{"enter": tea.KeyEnter, "esc": tea.KeyEscape, "up": tea.KeyUp, "down": tea.KeyDown, "tab": tea.KeyTab,
		"backspace": tea.KeyBackspace, "pgdown": tea.KeyPgDown, "pgup": tea.KeyPgUp, "home": tea.KeyHome, "end": tea.KeyEnd, "space": tea.KeySpace}[k]
	if !ok {
		panic(k)
	}
	return tea.KeyPressMsg{Code: code}
}

func (d *driver) text() string { return ansi.Strip(strings.Join(d.m.lines(), "\n")) }

// until lets the model run until its screen shows all of what is wanted, and tells how long that took.
func (d *driver) until(wanted ...string) time.Duration {
	d.t.Helper()
	begin := time.Now()
	end := time.After(30 * time.Second)
	for {
		text, missing := d.text(), ""
		for _, w := range wanted {
			if !strings.Contains(text, w) && !strings.Contains(strings.Join(strings.Fields(text), " "), w) { // it may be wrapped
				missing = w
			}
		}
		if missing == "" {
			return time.Since(begin)
		}
		select {
		case msg := <-d.inbox:
			d.send(msg)
		case <-end:
			d.t.Fatalf("%q is not shown:\n%s", missing, text)
		}
	}
}

// fresh lets the model run until what it shows was asked for after now.
func (d *driver) fresh() time.Duration {
	d.t.Helper()
	begin := time.Now()
	end := time.After(30 * time.Second)
	for g := d.m.generation; ; {
		select {
		case msg := <-d.inbox:
			d.send(msg)
			if data, ok := msg.(dataMsg); ok && data.generation >= g && data.screen == d.m.screen {
				d.m.lines()
				return time.Since(begin)
			}
		case <-end:
			d.t.Fatal("no answer in 30 s")
		}
	}
}

func newSite(t *testing.T, change func(*config.File)) (*rig.Site, *rig.Load) {
	t.Helper()
	dir, err := os.MkdirTemp("", "larch")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s, err := rig.New(rig.Options{Dir: dir, Partners: rig.Bureau(), Change: change, Keep: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	l := rig.NewLoad(s.App.Addr(), rig.Bureau(), seed)
	t.Cleanup(l.Close)
	return s, l
}

func background(t *testing.T, l *rig.Load, rate float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx, rate); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// A session from the first look to a message's history, against a relay under load.
func TestSession(t *testing.T) {
	s, l := newSite(t, nil)
	s.Hosts["courier-1"].Set(standin.Behaviour{Refuse: true, Wait: time.Hour})
	stop := background(t, l, 50)
	d := drive(t, s.Control)
	d.until("serving on "+s.App.Addr(), "taken on", "held", "calls out", "log")
	d.press("2")
	d.until("pay-1", "courier-1", "healthy", "told to wait")
	d.press("?")
	d.until("suspect        it failed or stayed silent", "any key: back")
	d.press("x", "down", "d")
	d.until("drain endpoint:pay-1?", "messages wait for its partner", "nothing new goes to it after 250 ms", "y: do it")
	d.press("n")
	d.until("called off, nothing was done")
	if st, _ := s.Control.Status(t.Context()); len(st.Drains) > 0 {
		t.Fatalf("drained without a yes: %v", st.Drains)
	}
	d.press("d")
	d.until("y: do it")
	d.press("y")
	d.until("endpoint:pay-1: drained at", "no call is out there", "1 drained")
	d.press("d")
	d.until("y: do it")
	d.press("y")
	d.until("endpoint:pay-1: already drained")
	d.press("down", "d")
	d.until("drain endpoint:pay-2?", "the last open endpoint of its partner")
	d.press("esc", "up", "u")
	d.until("undrain endpoint:pay-1?", "y: do it")
	d.press("y")
	d.until("endpoint:pay-1: undrained")
	d.press("3")
	d.until("held, oldest first, page 1", "courier")
	d.press("/")
	for _, k := range strings.Split("state=nonsense", "") {
		d.press(k)
	}
	d.press("enter")
	d.until("must be one of")
	d.press(strings.Split(strings.Repeat("x", 3), "")...)
	for range 30 {
		d.press("backspace")
	}
	for _, k := range strings.Split("partner=courier class=status-update", "") {
		if k == " " {
			k = "space"
		}
		d.press(k)
	}
	d.press("enter")
	d.until("filter partner=courier class=status-update", "waiting")
	if strings.Contains(d.text(), "job-order") {
		t.Errorf("the filter lets others through:\n%s", d.text())
	}
	d.press("enter")
	d.until("state     waiting", "attempts", "courier-1 told to wait")
	d.press("esc", "e")
	d.until("ended, newest first")
	d.press("1", "D")
	d.until("drain relay?", "nothing new is taken on", "y: do it")
	d.press("y")
	d.until("relay: drained", "NOT SERVING: draining (")
	d.press("U")
	d.until("undrain relay?", "y: do it")
	d.press("y")
	d.until("relay: undrained", "serving on")
	stop()
	d.press("S")
	d.until("stop the relay?", "a stop cannot be undone", "y: do it")
	d.press("y")
	d.until("stopping: ")
	<-s.App.Done()
	d.until("OLD: shown as of", "no relay runs there; trying again")
	if err := s.Start(nil); err != nil { // it comes back by itself
		t.Fatal(err)
	}
	d.until("serving on " + s.App.Addr())
}

// stuck is a relay that accepts and does not answer, or answers what makes no sense.
type stuck struct {
	API
	mu  sync.Mutex
	how string
}

func (s *stuck) Overview(ctx context.Context, after uint64) (adminapi.Overview, error) {
	s.mu.Lock()
	how := s.how
	s.mu.Unlock()
	switch how {
	case "silent":
		<-ctx.Done()
		return adminapi.Overview{}, ctx.Err()
	case "garbage":
		return adminapi.Overview{}, errors.New("the answer cannot be read")
	}
	return s.API.Overview(ctx, after)
}

// Guards against a console that shows what is old as if it were new, while the relay is silent.
func TestSaysWhatIsOld(t *testing.T) {
	s, _ := newSite(t, nil)
	api := &stuck{API: s.Control, how: "silent"}
	set := func(how string) { api.mu.Lock(); api.how = how; api.mu.Unlock() }
	d := drive(t, api)
	d.until("connecting ...")
	d.until("NOT CONNECTED: context deadline exceeded; trying again")
	set("")
	d.until("serving on")
	set("garbage")
	d.until("OLD: shown as of", "the answer cannot be read; trying again", "held")
	set("")
	d.until("serving on")
	d.m.heard = d.m.heard.Add(-4 * time.Second) // an answer that is late without an error
	d.until("OLD: shown as of", "4.0s ago")
}

// At any size, with whatever is shown, the screen has just its lines, none wider than it, and what state a
// thing is in can be read without colour.
func TestAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-zA-Z0-9-]{1,100}`)
		n := rapid.IntRange(0, 30)
		m := NewModel(context.Background(), nil, "test")
		m.width, m.height = rapid.IntRange(1, 200).Draw(t, "width"), rapid.IntRange(1, 60).Draw(t, "height")
		m.screen = screen(rapid.IntRange(0, 3).Draw(t, "screen"))
		m.help = rapid.Bool().Draw(t, "help")
		if rapid.Bool().Draw(t, "ask") {
			m.ask = &question{title: name.Draw(t, "title"), lines: []string{name.Draw(t, "line")}, ready: rapid.Bool().Draw(t, "ready")}
		}
		m.typing, m.typed, m.notice = rapid.Bool().Draw(t, "typing"), name.Draw(t, "typed"), name.Draw(t, "notice")
		d := dataMsg{screen: m.screen, at: m.now, page: &adminapi.Page{}, query: m.wanted()}
		d.status = adminapi.Status{API: 1, Phase: rapid.SampledFrom([]string{"", "serving", "draining", "drained", "stopping"}).Draw(t, "phase"),
			Held: n.Draw(t, "held"), HeldMost: 10, Series: make([]adminapi.Second, n.Draw(t, "seconds")), Left: &adminapi.Left{Messages: 3, IDs: []string{"a"}}}
		for range n.Draw(t, "drains") {
			d.status.Drains = append(d.status.Drains, adminapi.Drained{Target: "partner:" + name.Draw(t, "drained"), By: "someone"})
		}
		for range n.Draw(t, "partners") {
			p := adminapi.Partner{Name: name.Draw(t, "partner"), Classes: []string{name.Draw(t, "class")}, Drained: rapid.Bool().Draw(t, "drained")}
			for range rapid.IntRange(0, 3).Draw(t, "endpoints") {
				p.Endpoints = append(p.Endpoints, adminapi.Endpoint{ID: name.Draw(t, "id"), State: "drained", Health: "suspect", Why: name.Draw(t, "why"), WaitMs: 5})
			}
			d.partners = append(d.partners, p)
		}
		for range n.Draw(t, "messages") {
			d.page.Messages = append(d.page.Messages, adminapi.Message{ID: name.Draw(t, "id"), State: "waiting", Why: name.Draw(t, "why")})
		}
		for i := range n.Draw(t, "log") {
			d.log = append(d.log, adminapi.LogLine{N: uint64(i + 1), Level: "WARN", Text: name.Draw(t, "text")})
		}
		m.message = adminapi.Message{ID: "x", State: "out", Why: name.Draw(t, "why"), Attempts: make([]adminapi.Attempt, n.Draw(t, "attempts"))}
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
			if list := m.screen == partners || m.screen == messages; list && m.rows() > 0 && m.ask == nil && !m.help && !m.typing &&
				m.width >= 60 && m.height >= 12 && !strings.Contains(plain, "\n> ") {
				t.Fatalf("what is chosen is not in sight:\n%s", plain)
			}
		}
	})
}

func TestParseFilter(t *testing.T) {
	q, err := parseFilter("partner=pay  state=waiting older=1m30s abc", adminapi.Query{Class: "old"})
	if want := (adminapi.Query{Partner: "pay", State: "waiting", Older: 90 * time.Second, IDPrefix: "abc"}); err != nil || q != want {
		t.Errorf("%+v, %v, want %+v", q, err, want)
	}
	for _, bad := range []string{"state=lost", "older=x", "older=-1s", "colour=red"} {
		if _, err := parseFilter(bad, adminapi.Query{}); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// Scripted sessions against a relay that holds much: each screen and each action, timed from the key to the
// screen that shows the answer. The aims are 50 ms and 200 ms in the median; here only far larger times fail.
func TestSessions(t *testing.T) {
	s, l := newSite(t, func(f *config.File) {
		f.Limits.Held = *held*2 + 1000
		f.Limits.DiskMB = 4096
		f.Limits.MemoryMB = 2048
		f.Ends.Keep = 50_000
	})
	s.Hosts["courier-1"].Set(standin.Behaviour{Refuse: true, Wait: time.Hour})
	l.Deadline = time.Hour
	var wg sync.WaitGroup
	room := make(chan struct{}, 64)
	for i := range *held {
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			if got, err := l.Submit(context.Background(), rig.Message{ID: fmt.Sprint("held", i), Class: "status-update", Partner: "courier"}); got != 202 {
				t.Errorf("status %d, %v", got, err)
			}
		})
	}
	wg.Wait()
	others := rig.Bureau()
	l.Partners = []rig.Partner{others[0], others[2], others[3]}
	stop := background(t, l, *rate)
	d := drive(t, s.Control)
	d.until("serving on")
	took := map[string][]time.Duration{}
	note := func(what string, one time.Duration) {
		took[what] = append(took[what], one)
		time.Sleep(30 * time.Millisecond) // nobody types faster: a client is held to so many requests a second
	}
	for range *rounds {
		for _, key := range []struct{ key, what string }{{"1", "screen: overview"}, {"2", "screen: partners"}, {"3", "screen: messages"}} {
			d.press(key.key)
			note(key.what, d.fresh())
		}
		d.press("s")
		note("screen: messages, newest first", d.fresh())
		d.press("n")
		note("screen: messages, next page", d.fresh())
		d.press("s", "s", "s", "e")
		note("screen: messages, ended", d.fresh())
		d.press("e")
		d.fresh()
		d.press("/")
		for _, k := range strings.Split("class=payment", "") {
			d.press(k)
		}
		d.press("enter")
		note("screen: messages, a filter that lets few through", d.fresh())
		d.press("/")
		for range 20 {
			d.press("backspace")
		}
		d.press("enter")
		d.fresh()
		d.press("home", "enter")
		note("screen: one message", d.fresh())
		d.press("esc")
		d.fresh()
		d.press("2")
		d.fresh()
		d.press("home", "down")
		for _, key := range []string{"d", "u"} {
			begin := time.Now()
			d.press(key)
			d.until("y: do it")
			note("action: consequences", time.Since(begin))
			begin = time.Now()
			d.press("y")
			for !strings.Contains(d.text(), "pay-1: drained") && !strings.Contains(d.text(), "pay-1: undrained") {
				d.send(<-d.inbox)
			}
			note("action: done ("+key+")", time.Since(begin))
		}
	}
	stop()
	q, n := l.Latency(*held, 0.5, 0.99, 1)
	t.Logf("%d held, %g/s, %d rounds; 202: median %v, p99 %v, worst %v of %d", *held, *rate, *rounds, q[0], q[1], q[2], n)
	var names []string
	for what := range took {
		names = append(names, what)
	}
	slices.Sort(names)
	for _, what := range names {
		all := took[what]
		slices.Sort(all)
		t.Logf("%-50s median %8v  worst %8v  of %d", what, all[len(all)/2].Round(10*time.Microsecond), all[len(all)-1].Round(10*time.Microsecond), len(all))
		if all[len(all)/2] > 2*time.Second {
			t.Errorf("%s took %v in the median", what, all[len(all)/2])
		}
	}
	s.Hosts["courier-1"].Set(standin.Behaviour{})
}
