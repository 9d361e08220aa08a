package relay

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	upgrades = flag.Int("upgrades", 12, "how often TestUpgradesUnderLoad replaces the process")
	seed     = flag.Uint64("upgrades.seed", 1, "seed of TestUpgradesUnderLoad")
)

// upgradeSite starts processes of the program that serve at one address.
type upgradeSite struct {
	t     *testing.T
	p     *platform
	state string
	addr  string
	cmd   *exec.Cmd
}

// start starts another process; the channel reports its address once it serves.
func (s *upgradeSite) start() (*exec.Cmd, chan string) { return processAt(s.t, s.p, s.state, s.addr) }

// quietAddr returns an address that nobody listens at, with a port that the system gives to no connection: it must be free
// whenever the process returns to it.
func quietAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(18_000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

func (s *upgradeSite) end(cmd *exec.Cmd, how syscall.Signal) {
	s.t.Helper()
	cmd.Process.Signal(how)
	if err := cmd.Wait(); how == syscall.SIGTERM && err != nil {
		s.t.Errorf("exit after SIGTERM: %v", err)
	}
}

// load is four clients that submit messages one after the other, whatever happens to the process.
type load struct {
	results  chan result
	quit     chan struct{}
	clients  chan bool
	admitted map[string]bool // whether it was admitted, by id
}

type result struct {
	id     string
	status int // 0 for no response
	began  time.Time
}

// startLoad starts clients that pause before each message. Bodies have at least so many bytes.
func startLoad(addr string, pause time.Duration, body int) *load {
	l := &load{make(chan result, 1_000_000), make(chan struct{}), make(chan bool, 4), map[string]bool{}}
	for k := range cap(l.clients) {
		go func() {
			defer func() { l.clients <- true }()
			client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := k; ; n += cap(l.clients) {
				select {
				case <-l.quit:
					return
				case <-time.After(pause + time.Duration(k)*time.Millisecond):
				}
				began := time.Now()
				id := fmt.Sprint("m", n)
				_, class := effectOf(id)
				req, _ := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader("body of "+id+strings.Repeat(".", body)))
				for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Deadline-Ms": "2000",
					"Idempotency-Key": "key-" + id, "X-Addressing": "dest=7"} {
					req.Header.Set(k, v)
				}
				resp, err := client.Do(req)
				if err != nil {
					l.results <- result{id, 0, began}
					continue
				}
				resp.Body.Close()
				l.results <- result{id, resp.StatusCode, began}
			}
		}()
	}
	return l
}

// drain takes in the results so far, and returns how many requests that began after a time had no response.
func (l *load) drain(since time.Time) (unanswered int) {
	for len(l.results) > 0 {
		r := <-l.results
		if l.admitted[r.id] = r.status == http.StatusAccepted; r.status == 0 && r.began.After(since) {
			unanswered++
		}
	}
	return unanswered
}

// end stops the clients, and returns for each message whether it was admitted.
func (l *load) end(t *testing.T) map[string]bool {
	t.Helper()
	close(l.quit)
	for range cap(l.clients) {
		wait(t, l.clients, "end of a client")
	}
	l.drain(time.Now())
	return l.admitted
}

// countAdmitted counts the admitted messages.
func countAdmitted(admitted map[string]bool) (n int) {
	for _, ok := range admitted {
		if ok {
			n++
		}
	}
	return n
}

// Messages keep coming while the process is replaced repeatedly, gracefully and by kills of either process at random points
// of the handover: each admitted message has one end, no payment runs twice, and no client is rejected by a graceful one.
func TestUpgradesUnderLoad(t *testing.T) {
	t.Logf("seed %d", *seed)
	draw := rand.New(rand.NewPCG(*seed, 0))
	f := newEffects()
	s := &upgradeSite{t: t, state: t.TempDir(), addr: quietAddr(t),
		p: newPlatform(t, at("s-1", f.host(t, "a"), "taller"), at("s-2", f.host(t, "b"), "almacen"))}
	s.p.notices = make(chan notice, 100_000)
	var serves chan string
	s.cmd, serves = s.start()
	wait(t, serves, "address")

	load := startLoad(s.addr, 20*time.Millisecond, 0)
	kinds := map[string]int{}
	for range *upgrades {
		wait(t, f.progress, "call")
		since := time.Now()
		next, serves := s.start()
		switch how := draw.IntN(4); how {
		case 0, 1: // gracefully: no client goes without a response
			kinds["in order"]++
			wait(t, serves, "address")
			s.end(s.cmd, syscall.SIGTERM)
			if n := load.drain(since); n > 0 {
				t.Errorf("%d clients without an answer while the process was replaced in order", n)
			}
			s.cmd = next
		case 2: // the first dies as soon as the second serves: its calls in flight may have run
			kinds["first killed"]++
			wait(t, serves, "address")
			s.end(s.cmd, syscall.SIGKILL)
			s.cmd = next
		case 3: // the second dies at a random point; the first resumes the relay
			kinds["second killed"]++
			select {
			case <-serves:
			case <-time.After(time.Duration(draw.IntN(30)) * time.Millisecond):
			}
			s.end(next, syscall.SIGKILL)
			load.drain(since)
			for serving := false; !serving; {
				select {
				case r := <-load.results: // responses show that it serves
					load.admitted[r.id] = r.status == http.StatusAccepted
					serving = load.admitted[r.id]
				case <-time.After(30 * time.Second):
					t.Fatal("nobody takes messages after the second process was killed")
				}
			}
		}
	}
	admitted := load.end(t)
	f.ends(t, s.p, admitted)
	f.check(t)
	t.Logf("%v; %d messages submitted, %d admitted, each with its end", kinds, len(admitted), countAdmitted(admitted))
}
