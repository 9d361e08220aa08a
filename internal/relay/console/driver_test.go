package console

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/charmbracelet/x/ansi"
	"go.uber.org/goleak"

	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/rig"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// driver runs a model as a tea.Program does, without a terminal.
type driver struct {
	t      *testing.T
	model  *Model
	inbox  chan tea.Msg
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// startConsole returns a driver whose model has started to poll.
func startConsole(t *testing.T, api API) *driver {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &driver{t: t, model: NewModel(ctx, api, "test"), inbox: make(chan tea.Msg, 100), cancel: cancel}
	d.run(d.model.Init())
	t.Cleanup(d.stop)
	return d
}

// stop cancels all commands and waits for them.
func (d *driver) stop() {
	d.cancel()
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

// run runs a command in a goroutine of its own.
func (d *driver) run(cmd tea.Cmd) {
	if cmd == nil {
		return
	}
	d.wg.Go(func() { d.inbox <- cmd() })
}

// send passes a message to the model and runs the resulting command.
func (d *driver) send(msg tea.Msg) {
	_, cmd := d.model.Update(msg)
	d.run(cmd)
}

// press sends keys, named as a terminal names them.
func (d *driver) press(keys ...string) {
	for _, k := range keys {
		d.send(keyMsg(k))
	}
}

// keyMsg returns the message of a key.
func keyMsg(k string) tea.Msg {
	if r := []rune(k); len(r) == 1 {
		return tea.KeyPressMsg{Code: r[0], Text: k}
	}
	code, ok := map[string]rune{"enter": tea.KeyEnter, "esc": tea.KeyEscape, "up": tea.KeyUp, "down": tea.KeyDown,
		"tab":       tea.KeyTab,
		"backspace": tea.KeyBackspace, "pgdown": tea.KeyPgDown, "pgup": tea.KeyPgUp, "home": tea.KeyHome, "end": tea.KeyEnd, "space": tea.KeySpace}[k]
	if !ok {
		panic(k)
	}
	return tea.KeyPressMsg{Code: code}
}

// text returns the screen without colours.
func (d *driver) text() string { return ansi.Strip(strings.Join(d.model.lines(), "\n")) }

// waitFor runs the model until its screen shows all the given texts, and returns how long that took.
func (d *driver) waitFor(wanted ...string) time.Duration {
	d.t.Helper()
	begin := time.Now()
	end := time.After(30 * time.Second)
	for {
		text, missing := d.text(), ""
		for _, w := range wanted {
			if !strings.Contains(text, w) && !strings.Contains(strings.Join(strings.Fields(text), " "),
				w) { // the text may be wrapped
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

// waitForAnswer runs the model until its screen shows an answer that was requested after now.
func (d *driver) waitForAnswer() time.Duration {
	d.t.Helper()
	begin := time.Now()
	end := time.After(30 * time.Second)
	for g := d.model.generation; ; {
		select {
		case msg := <-d.inbox:
			d.send(msg)
			if data, ok := msg.(dataMsg); ok && data.generation >= g && data.screen == d.model.screen {
				d.model.lines()
				return time.Since(begin)
			}
		case <-end:
			d.t.Fatal("no answer in 30 s")
		}
	}
}

// newRelay starts a relay with partners, and returns a load for it.
func newRelay(t *testing.T, change func(*config.File)) (*rig.Site, *rig.Load) {
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

// runLoad runs a load until the returned function is called.
func runLoad(t *testing.T, l *rig.Load, rate float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx, rate); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}
