package relay

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/relay/settings"
)

// While clients are sent away /up reports no, messages are admitted and delivered, each response ends its connection, and
// idle connections are closed. After Resume all is as before.
func TestQuiesceAndResume(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	upIs := func() int {
		resp, err := http.Get("http://" + r.Addr() + "/up")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	idle, busy := dial(t, r.Addr()), dial(t, r.Addr())
	idle.Write([]byte(request("m0", "Content-Length: 1\r\n", "x")))
	status, _, closed := answered(t, idle)
	want(t, "status", status, 202)
	want(t, "closed", closed, false)
	wait(t, calls, "call").answer <- 200

	begin := time.Now()
	r.Quiesce()
	r.Quiesce()
	want(t, "/up", upIs(), 503)
	busy.Write([]byte(request("m1", "Content-Length: 1\r\n", "x")))
	status, _, closed = answered(t, busy)
	want(t, "status on a connection from before", status, 202)
	want(t, "closed", closed, true)
	wait(t, calls, "call").answer <- 200
	idle.SetReadDeadline(begin.Add(3 * time.Second))
	if n, err := idle.Read(make([]byte, 1)); n != 0 || os.IsTimeout(err) {
		t.Errorf("an idle connection is still open %v after the call", time.Since(begin))
	}
	want(t, "/up", upIs(), 503)

	r.Resume()
	r.Resume()
	want(t, "/up", upIs(), 200)
	again := dial(t, r.Addr())
	for _, id := range []string{"m2", "m3"} { // connections are kept open again
		again.Write([]byte(request(id, "Content-Length: 1\r\n", "x")))
		status, _, closed = answered(t, again)
		want(t, "status", status, 202)
		want(t, "closed", closed, false)
		wait(t, calls, "call").answer <- 200
	}
}

// Nothing of an invalid file is applied.
func TestInvalidFileIsNotApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(name string) string {
		return map[string]string{"BALANCER_CONFIG": path, "BALANCER_STATE": "s"}[name]
	}
	good := bytes.ReplaceAll(testConfig(t, newPlatform(t)), []byte("\n"), nil)
	put := func(data []byte) {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put(good)
	conf, err := ReadConfig(env)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conf.ReadAgain(env); err != nil {
		t.Fatalf("the same file: %v", err)
	}
	for old, new := range map[string]string{
		string(good):                 `{}`,
		`"settings":`:                `"settlings":`,
		`"limits":`:                  `"limit":`,
		`"discovery":`:               `"dis":`,
		`"max-attempts":6,`:          ``,
		`"most-held":50`:             `"most-hold":50`,
		`"max-attempts":6`:           `"max-attempts":0`,
		`"max-attempts":6,"max`:      `"max-attempts":-2,"max`,
		`"max-attempts":6,"max-r`:    `"max-attempts":"6","max-r`,
		`"give-up":16`:               `"give-up":0`,
		`"give-up":24`:               `"give-up":-3`,
		`"give-up":20`:               `"give-up":null`,
		`"effect":"at_most_once",`:   ``,
		`"effect":"deduplicated"`:    `"effect":"once"`,
		`"name":"payment",`:          ``,
		`"window":15,`:               ``,
		`"cold":13,`:                 ``,
		`"zones":["taller"`:          `"zones":{"a":["taller"`,
		string(good[len(good)-300:]): ``,
	} {
		put(bytes.Replace(good, []byte(old), []byte(new), 1))
		if _, err := conf.ReadAgain(env); err == nil {
			t.Errorf("taken: %.40q instead of %.40q", new, old)
		}
	}
	for name, data := range map[string][]byte{"empty": {}, "null": []byte("null"), "a list": []byte("[]"), "two": append(good, good...)} {
		put(data)
		if _, err := conf.ReadAgain(env); err == nil {
			t.Errorf("taken: %s", name)
		}
	}
	for cut := 1; cut < len(good); cut += 7 {
		put(good[:cut])
		if _, err := conf.ReadAgain(env); err == nil {
			t.Errorf("taken: the first %d of %d bytes", cut, len(good))
		}
	}
	put(bytes.Replace(good, []byte(`"known":`), []byte(`"unknown":`), 1))
	if _, err := conf.ReadAgain(env); err != nil {
		t.Errorf("without the list of known hosts, which discovery has anyway: %v", err)
	}
}

func TestMissingKeysAreNamed(t *testing.T) {
	got, err := settings.Missing([]byte(`{"a":{"b":1,"c":[{"x":1,"y":2},{"x":3}]},"free":{"k":1}}`), []byte(`{"a":{"c":[{"x":1},{"y":1}]}}`), "free")
	if err != nil || strings.Join(got, " ") != "a.b a.c[1].x" {
		t.Errorf("%v, %v", got, err)
	}
}
