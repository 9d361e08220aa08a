package process

import (
	"bytes"
	"errors"
	"log/slog"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"
)

type (
	namedString string
	namedInt    int
	panics      struct{}
	unwritable  struct{}
	lazy        struct{}
	host        struct{ name string }
)

func (panics) Error() string                    { panic("no text") }
func (unwritable) MarshalText() ([]byte, error) { return nil, errors.New("no form") }
func (lazy) LogValue() slog.Value               { return slog.StringValue("computed late") }
func (h *host) String() string                  { return h.name }

// lineForms are log calls and the lines that they write. Operators and tests read these lines: the form must not change.
var lineForms = []struct {
	name string
	log  func(*slog.Logger)
	want string
}{
	{"message and keys", func(l *slog.Logger) { l.Info("placement", "gen", int64(2), "old", 4) }, `msg=placement gen=2 old=4`},
	{"message of several words", func(l *slog.Logger) { l.Info("acts on", "version", 7) }, `msg="acts on" version=7`},
	{"no message", func(l *slog.Logger) { l.Info("", "event", "start") }, `event=start`},
	{"no keys", func(l *slog.Logger) { l.Info("stopped") }, `msg=stopped`},
	{"no message, no keys", func(l *slog.Logger) { l.Info("") }, ``},
	{"error", func(l *slog.Logger) { l.Error("sync", "err", errors.New("disk gone")) }, `trouble=1 msg=sync err="disk gone"`},
	{"error without a space", func(l *slog.Logger) { l.Error("sync", "err", errors.New("EOF")) }, `trouble=1 msg=sync err=EOF`},
	{"warning", func(l *slog.Logger) { l.Warn("nearly full", "store", "a") }, `trouble=1 msg="nearly full" store=a`},
	{"quote", func(l *slog.Logger) { l.Info(`says "no"`, "k", `"`) }, `msg="says \"no\"" k="\""`},
	{"backslash", func(l *slog.Logger) { l.Info("m", "bare", `a\b`, "quoted", `a \b`) }, `msg=m bare=a\b quoted="a \\b"`},
	{"equals sign", func(l *slog.Logger) { l.Info("a=b", "k", "=") }, `msg="a=b" k="="`},
	{"control characters", func(l *slog.Logger) { l.Info("m", "k", "a\nb\tc\rd\x01") }, `msg=m k="a\nb\tc\rd\u0001"`},
	{"one line only", func(l *slog.Logger) { l.Info("two\nlines") }, `msg="two\nlines"`},
	{"empty value", func(l *slog.Logger) { l.Info("m", "k", "", "l", 1) }, `msg=m k= l=1`},
	{"other scripts", func(l *slog.Logger) { l.Info("m", "k", "Zürich", "l", "山 川") }, `msg=m k=Zürich l="山 川"`},
	{"invalid UTF-8", func(l *slog.Logger) { l.Info("m", "k", "a\xffb") }, `msg=m k="a\ufffdb"`},
	{"key with a space", func(l *slog.Logger) { l.Info("m", "two words", 1) }, `msg=m twowords=1`},
	{"nil", func(l *slog.Logger) { l.Info("m", "k", nil) }, `msg=m k=null`},
	{"the text null", func(l *slog.Logger) { l.Info("m", "k", "null") }, `msg=m k="null"`},
	{"nil error", func(l *slog.Logger) { l.Info("m", "err", error(nil)) }, `msg=m err=null`},
	{"nil pointer", func(l *slog.Logger) { l.Info("m", "k", (*int)(nil)) }, `msg=m k=null`},
	{"nil pointer with a method", func(l *slog.Logger) { l.Info("m", "k", (*host)(nil)) }, `msg=m k=null`},
	{"pointer", func(l *slog.Logger) { l.Info("m", "k", new(int)) }, `msg=m k=0`},
	{"stringer", func(l *slog.Logger) { l.Info("m", "k", &host{"core 1"}) }, `msg=m k="core 1"`},
	{"text marshaler", func(l *slog.Logger) { l.Info("m", "k", netip.MustParseAddr("10.0.0.1")) }, `msg=m k=10.0.0.1`},
	{"text marshaler that fails", func(l *slog.Logger) { l.Info("m", "k", unwritable{}, "l", 1) },
		`msg=m k="error marshaling value of type process.unwritable: no form" l=1`},
	{"error that panics", func(l *slog.Logger) { l.Info("m", "err", panics{}) }, `msg=m err="PANIC:no text"`},
	{"type without a form", func(l *slog.Logger) { l.Info("m", "k", []int{1}, "l", 1) }, `msg=m k="unsupported value type" l=1`},
	{"duration", func(l *slog.Logger) { l.Info("m", "k", 1500*time.Millisecond, "l", time.Duration(0)) }, `msg=m k=1.5s l=0s`},
	{"time", func(l *slog.Logger) { l.Info("m", "k", time.Date(2026, 12, 2, 10, 0, 0, 5e6, time.UTC)) },
		`msg=m k=2026-12-02T10:00:00.005Z`},
	{"booleans", func(l *slog.Logger) { l.Info("m", "k", true, "l", false) }, `msg=m k=true l=false`},
	{"integers", func(l *slog.Logger) {
		l.Info("m", "a", math.MinInt64, "b", uint64(math.MaxUint64), "c", int8(-1), "d", uint16(9))
	}, `msg=m a=-9223372036854775808 b=18446744073709551615 c=-1 d=9`},
	{"floats", func(l *slog.Logger) { l.Info("m", "a", 0.1, "b", 1e21, "c", math.Inf(1), "d", 2.0) },
		`msg=m a=0.1 b=1e+21 c=+Inf d=2`},
	{"named types", func(l *slog.Logger) { l.Info("m", "a", namedString("x y"), "b", namedInt(3)) }, `msg=m a="x y" b=3`},
	{"bytes", func(l *slog.Logger) { l.Info("m", "k", []byte("a b")) }, `msg=m k="a b"`},
	{"empty key", func(l *slog.Logger) { l.Error("m", "", 7) },
		`unreadable="trouble1msgm7" remedy="log names that are not empty"`},
}

func TestLineForms(t *testing.T) {
	for _, c := range lineForms {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			c.log(fixedTimeLogger(&out))
			if got := out.String(); got != "t=0.000 "+c.want+"\n" {
				t.Errorf("wrote\n%swant\nt=0.000 %s", got, c.want)
			}
		})
	}
}

func fixedTimeLogger(out *bytes.Buffer) *slog.Logger {
	handler := NewRingHandler(out)
	handler.ring.now = func() time.Time { return handler.ring.begin }
	return slog.New(handler)
}

// TestLineFormsOfDerivedLoggers covers what slog adds: attributes of a logger, groups, and LogValuers.
func TestLineFormsOfDerivedLoggers(t *testing.T) {
	for _, c := range []struct {
		name string
		log  func(*slog.Logger)
		want string
	}{
		{"attributes of the logger", func(l *slog.Logger) { l.With("node", "a").With("epoch", 3).Error("m", "k", 1) },
			`trouble=1 msg=m node=a epoch=3 k=1`},
		{"two loggers of one", func(l *slog.Logger) {
			l = l.With("a", 1)
			first, second := l.With("b", 2), l.With("c", 3)
			first.Debug("not written")
			second.Info("m")
		}, `msg=m a=1 c=3`},
		{"group", func(l *slog.Logger) { l.With("a", 1).WithGroup("g").With("b", 2).Info("m", "c", 3) }, `msg=m a=1 g.b=2 g.c=3`},
		{"group without a name", func(l *slog.Logger) { l.WithGroup("").Info("m", "c", 3) }, `msg=m c=3`},
		{"group value", func(l *slog.Logger) { l.Info("m", slog.Group("g", "a", 1, slog.Group("", "b", 2)), "c", 3) },
			`msg=m g.a=1 g.b=2 c=3`},
		{"empty group value", func(l *slog.Logger) { l.Info("m", slog.Group("g"), "c", 3) }, `msg=m c=3`},
		{"empty attribute", func(l *slog.Logger) { l.Info("m", slog.Attr{}, "c", 3) }, `msg=m c=3`},
		{"LogValuer", func(l *slog.Logger) { l.Info("m", "k", lazy{}) }, `msg=m k="computed late"`},
		{"key without a value", func(l *slog.Logger) { l.Info("m", []any{"k"}...) }, `msg=m !BADKEY=k`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			c.log(fixedTimeLogger(&out))
			if got := out.String(); got != "t=0.000 "+c.want+"\n" {
				t.Errorf("wrote\n%swant\nt=0.000 %s", got, c.want)
			}
		})
	}
}

// TestDerivedLoggersShareTheRing: an error of one logger writes out what another one recorded.
func TestDerivedLoggersShareTheRing(t *testing.T) {
	var out bytes.Buffer
	log := fixedTimeLogger(&out)
	log.With("node", "a").Debug("first")
	log.WithGroup("g").Error("second")
	if want := "t=0.000 msg=first node=a\nt=0.000 trouble=1 msg=second\n"; out.String() != want {
		t.Errorf("wrote\n%swant\n%s", out.String(), want)
	}
}

// TestNothingIsAllocatedBelowDebug: a line below the lowest level costs no memory.
func TestNothingIsAllocatedBelowDebug(t *testing.T) {
	var out bytes.Buffer
	log, ctx := NewLogger(&out), t.Context()
	if n := testing.AllocsPerRun(100, func() { log.LogAttrs(ctx, slog.LevelDebug-1, "m", slog.Int("k", 1)) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	if strings.Contains(out.String(), "m") {
		t.Error("written")
	}
}
