package adminapi

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fake is a backend that answers what a test says.
type fake struct {
	Backend
	status func(context.Context) (Status, error)
}

func (f fake) Status(ctx context.Context) (Status, error) { return f.status(ctx) }
func (f fake) Drain(_ context.Context, q DrainRequest) (DrainAnswer, error) {
	return DrainAnswer{Target: q.Target, Result: q.By}, nil
}

func listen(t *testing.T, b Backend) *Client {
	t.Helper()
	dir, err := os.MkdirTemp("", "larch")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s, err := Listen(filepath.Join(dir, "sock"), b, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := Dial(filepath.Join(dir, "sock"))
	t.Cleanup(c.Close)
	return c
}

// Every query arrives as it was sent, and parameters that are not known are errors.
func TestQueries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 20, 50)
		q := Query{Partner: text.Draw(t, "partner"), Class: text.Draw(t, "class"), State: text.Draw(t, "state"),
			Ended: rapid.Bool().Draw(t, "ended"), Newest: rapid.Bool().Draw(t, "newest"), Limit: rapid.IntRange(0, 1000).Draw(t, "limit"),
			Older: time.Duration(rapid.IntRange(0, 1e9).Draw(t, "older")) * time.Millisecond, Cursor: text.Draw(t, "cursor"), IDPrefix: text.Draw(t, "id")}
		if got, err := parseQuery(q.encode()); err != nil || got != q {
			t.Fatalf("%+v became %+v, %v", q, got, err)
		}
	})
	for _, bad := range []string{"partnr=x", "partner=a&partner=b", "limit=x", "limit=-1", "older_ms=99999999999999", "ended=perhaps", "newest=2"} {
		req := httptest.NewRequest("GET", "/?"+bad, nil)
		if q, err := parseQuery(req.URL.Query()); !IsCode(err, Invalid) {
			t.Errorf("%s: %+v, %v", bad, q, err)
		}
	}
}

// Each code of an error has its status, and comes back as the same code and text.
func TestErrors(t *testing.T) {
	var give error
	c := listen(t, fake{status: func(context.Context) (Status, error) { return Status{}, give }})
	for code, status := range statusByCode {
		if code == Busy {
			continue // the client comes again
		}
		give = Errorf(code, "about %s", code)
		_, err := c.Status(t.Context())
		e, ok := err.(*Error) //nolint:errorlint // the client gives it as it is
		if !ok || e.Code != code || e.Status != status || e.Text != "about "+code {
			t.Errorf("%s: %#v", code, err)
		}
	}
	give = fmt.Errorf("disk on fire")
	if _, err := c.Status(t.Context()); !IsCode(err, Failed) || err.Error() != "disk on fire" {
		t.Errorf("another error: %v", err)
	}
	if a, err := c.Drain(t.Context(), DrainRequest{Target: "relay", By: "me"}); err != nil || a.Target != "relay" || a.Result != "me" {
		t.Errorf("%+v, %v", a, err)
	}
	if _, err := c.Message(t.Context(), ""); !IsCode(err, Invalid) {
		t.Errorf("an empty id: %v", err)
	}
}

// A relay that does not answer holds so many requests and no more, for so long and no longer; the client
// comes again, and is served once there is room.
func TestBusy(t *testing.T) {
	stuck := make(chan struct{})
	var mu sync.Mutex
	inside, most := 0, 0
	c := listen(t, fake{status: func(ctx context.Context) (Status, error) {
		mu.Lock()
		inside++
		most = max(most, inside)
		mu.Unlock()
		defer func() { mu.Lock(); inside--; mu.Unlock() }()
		select {
		case <-stuck:
			return Status{PID: 7}, nil
		case <-ctx.Done():
			return Status{}, ctx.Err()
		}
	}})
	var wg sync.WaitGroup
	for range 3 * maxConcurrent {
		other := Dial(c.Path())
		wg.Go(func() {
			defer other.Close()
			if s, err := other.Status(t.Context()); err != nil || s.PID != 7 {
				t.Errorf("%+v, %v", s, err)
			}
		})
	}
	for full := false; !full; time.Sleep(time.Millisecond) {
		mu.Lock()
		full = inside == maxConcurrent
		mu.Unlock()
	}
	close(stuck)
	wg.Wait()
	if most != maxConcurrent {
		t.Errorf("%d at once, want %d", most, maxConcurrent)
	}
}

func TestClientGivesUpWithItsContext(t *testing.T) {
	c := listen(t, fake{status: func(context.Context) (Status, error) { return Status{}, Errorf(Busy, "never") }})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := c.Status(ctx); err == nil {
		t.Error("no error")
	}
}

// An answer without sense is an error, not a status that is all zeros.
func TestAnswersWithoutSense(t *testing.T) {
	dir, err := os.MkdirTemp("", "larch")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.Contains(req.URL.Path, "partners") {
			w.WriteHeader(500)
		}
		io.WriteString(w, "<html>")
	}))
	c := Dial(filepath.Join(dir, "none"))
	if _, err := c.Status(t.Context()); err == nil || !strings.Contains(err.Error(), ErrNoRelay.Error()) {
		t.Errorf("%v", err)
	}
	s.Start()
	defer s.Close()
	c.http.Transport = rewrite{s.Listener.Addr().String()}
	if _, err := c.Status(t.Context()); err == nil || !strings.Contains(err.Error(), "cannot be read") {
		t.Errorf("%v", err)
	}
	if _, err := c.Partners(t.Context()); err == nil || !strings.Contains(err.Error(), "status 500") {
		t.Errorf("%v", err)
	}
}

// rewrite sends requests to an address in place of a socket.
type rewrite struct{ addr string }

func (r rewrite) RoundTrip(req *http.Request) (*http.Response, error) {
	req.URL.Host = r.addr
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

// The tail remembers the last lines with their numbers, and nothing in them can move a terminal's cursor.
func TestTail(t *testing.T) {
	tail := NewTail(slog.DiscardHandler)
	log := slog.New(tail).With("a", 1).WithGroup("g")
	log.Debug("not kept")
	for i := range maxLines + 50 {
		log.Info("line", "n", i)
	}
	log.Warn("escape \x1b[2J\r\n\u009b1m", "b", "x\ny")
	all := tail.After(0)
	if len(all) != maxLines || all[0].N != 52 || all[len(all)-1].N != maxLines+51 {
		t.Fatalf("%d lines, from %d to %d", len(all), all[0].N, all[len(all)-1].N)
	}
	last := all[len(all)-1]
	if last.Level != "WARN" || strings.ContainsAny(last.Text, "\x1b\r\n\u009b") || !strings.Contains(last.Text, "a=1 g.b=x y") {
		t.Errorf("%+v", last)
	}
	if more := tail.After(last.N - 2); len(more) != 2 {
		t.Errorf("%d lines after the last but two", len(more))
	}
	log.Info(strings.Repeat("ü", maxLineBytes))
	if got := tail.After(last.N)[0].Text; len(got) > maxLineBytes+10 {
		t.Errorf("a line of %d bytes is kept", len(got))
	}
	if got := (*Tail)(nil).After(0); got == nil || len(got) != 0 {
		t.Errorf("no tail: %v", got)
	}
}
