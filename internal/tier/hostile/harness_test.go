package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/tiertest"
)

const (
	stepTimeout       = 60 * time.Second // for each condition that a test awaits
	callerTimeout     = 4 * time.Second  // of a try of an ordinary caller
	callerTries       = 5
	eventInterval     = 4 * time.Millisecond
	descriptorsPolled = 50 * time.Millisecond
)

// buildDir has the executables.
var buildDir string

// buildPrograms builds the executables once for all tests.
var buildPrograms = sync.OnceValues(func() (tiertest.Programs, error) {
	return tiertest.BuildPrograms(context.Background(), buildDir)
})

// withBuildDir runs the tests with a folder for the executables, and removes it after them.
type withBuildDir struct{ *testing.M }

func (m withBuildDir) Run() int {
	var err error
	if buildDir, err = os.MkdirTemp("", "hostile"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(buildDir)
	return m.M.Run()
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(withBuildDir{m}) }

// must ends the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// testTier is a tier with one front whose processes have low limits.
type testTier struct {
	*tiertest.Tier
	t      *testing.T
	config tiertest.Config
}

// startTier starts a tier that serves, with a limit of descriptors and a limit of heads.
func startTier(t *testing.T, descriptors, headLimit int) *testTier {
	t.Helper()
	return startTierWith(t, tiertest.Options{Fronts: 1, Limits: tiertest.ProcessLimits{MemoryMB: memoryMB, MaxFDs: descriptors}}, headLimit)
}

// startTierWith starts a tier that serves, with the fronts, limits and variables of options.
func startTierWith(t *testing.T, o tiertest.Options, headLimit int) *testTier {
	t.Helper()
	programs, err := buildPrograms()
	must(t, err)
	dir, err := os.MkdirTemp("/dev/shm", "hostile") // of disks: in memory, as no test cuts the power
	if err != nil {
		dir = t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	o.Cores, o.Stores, o.Programs, o.Dir = 3, 3, programs, dir
	tier, err := tiertest.Start(o)
	must(t, err)
	tt := &testTier{Tier: tier, t: t}
	t.Cleanup(func() {
		tier.Close()
		if t.Failed() {
			for _, m := range tier.Machines {
				t.Logf("output of %s:\n%s", m.Name, m.Log)
			}
		}
	})
	_, err = tier.AddHosts(eventInterval)
	must(t, err)
	tt.config = tiertest.NewConfig(3, tiertest.DraftService, false)
	tt.config.Limits.MaxBody, tt.config.Limits.MaxHeader = maxBodyBytes, headLimit
	tt.config.Limits.IdleMs = idleTimeout.Milliseconds()
	ctx, stop := context.WithTimeout(t.Context(), stepTimeout)
	defer stop()
	must(t, tier.Configure(ctx, tt.config))
	must(t, tier.AwaitStatus(ctx, "all stores are placed", func(s *controlnode.Status) bool {
		return len(s.Stores) == len(tier.Class(tiertest.Store)) && !s.PlacementJoint
	}))
	must(t, tier.AwaitReady(ctx, tier.Class(tiertest.Front)...))
	return tt
}

func (tt *testTier) front() *tiertest.Machine { return tt.Class(tiertest.Front)[0] }
func (tt *testTier) core() *tiertest.Machine  { return tt.Class(tiertest.Core)[0] }
func (tt *testTier) store() *tiertest.Machine { return tt.Class(tiertest.Store)[0] }

// addToolHost adds a host of the tools with responses of so many bytes, and a route of its own to it.
func (tt *testTier) addToolHost(service, path string, responseBytes int) *modelhost.Host {
	tt.t.Helper()
	host, err := tt.AddHost(modelhost.Options{Service: service, Capacity: bodyCrowd, QueueLimit: bodyCrowd,
		ConnLimit: 4 * bodyCrowd, CallDuration: eventInterval, ResponseBytes: responseBytes})
	must(tt.t, err)
	next := tt.config
	next.Version++
	next.Routes = append(next.Routes, tiertest.Route{Name: service, Host: tiertest.Hostname, Prefix: path, Kind: tiertest.NonIdempotent,
		DeadlineMs: 8000, TargetMs: 1000, Service: service, MaxAttempts: 1})
	next.Services = append(next.Services, tiertest.Service{Name: service, HealthPath: "/health", ConnLimit: 16 * bodyCrowd, Protocol: "h1"})
	ctx, stop := context.WithTimeout(tt.t.Context(), stepTimeout)
	defer stop()
	must(tt.t, tt.Configure(ctx, next))
	tt.config = next
	must(tt.t, tiertest.Await(ctx, "the front serves "+path, func(ctx context.Context) bool {
		return tt.try(ctx, http.MethodGet, path, nil) == http.StatusOK
	}))
	return host
}

var lastID atomic.Int64

// newID returns an X-Attempt-Id of its own.
func newID() string { return "hostile-" + strconv.FormatInt(lastID.Add(1), 10) }

// try sends one request as an ordinary caller does, on a connection of its own. It returns the status, 0 for none.
func (tt *testTier) try(ctx context.Context, method, path string, body []byte) (status int) {
	ctx, stop := context.WithTimeout(ctx, callerTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+tt.front().FrontAddr()+path, bytes.NewReader(body))
	must(tt.t, err)
	req.Host = tiertest.Hostname
	req.Header.Set("X-Attempt-Id", newID())
	req.Header.Set("X-Time-Left-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	status, _ = do(req)
	return status
}

// do sends a request on a connection of its own. The status is 0 if there is no complete response.
func do(req *http.Request) (status int, body string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(b)
}

// expectServed expects that an ordinary caller gets the response of a host within its tries.
func (tt *testTier) expectServed(when, method, path string, body []byte) {
	tt.t.Helper()
	var statuses []int
	for range callerTries {
		status := tt.try(tt.t.Context(), method, path, body)
		if status == http.StatusOK {
			return
		}
		statuses = append(statuses, status)
	}
	tt.t.Errorf("%s, %s %s with %d bytes got %v", when, method, path, len(body), statuses)
}

// expectOrdinaryServed expects that ordinary callers of a front are served.
func (tt *testTier) expectOrdinaryServed(when string) {
	tt.t.Helper()
	tt.expectServed(when, http.MethodGet, tiertest.ReadPath, nil)
	tt.expectServed(when, http.MethodPost, tiertest.WritePath, []byte("an ordinary request"))
}

// expectLimitServed expects that a body at the limit, sent alone, is served.
func (tt *testTier) expectLimitServed() {
	tt.t.Helper()
	tt.expectServed("alone", http.MethodPost, tiertest.WritePath, make([]byte, maxBodyBytes))
}

// watched is a process under test.
type watched struct {
	t           *testing.T
	machine     *tiertest.Machine
	pid         int
	descriptors atomic.Int64 // the most that were seen open at one time
}

// watch watches the descriptors of a machine's process until the test ends.
func watch(t *testing.T, m *tiertest.Machine) *watched {
	t.Helper()
	w := &watched{t: t, machine: m, pid: m.ProcessID()}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid)); err == nil {
				w.descriptors.Store(max(w.descriptors.Load(), int64(len(entries))))
			}
			select {
			case <-done:
				return
			case <-time.After(descriptorsPolled):
			}
		}
	})
	t.Cleanup(func() { close(done); wg.Wait() })
	return w
}

// expectWithin expects that the process lives and has never held more memory or descriptors than its settings grant.
func (w *watched) expectWithin(descriptors int) {
	w.t.Helper()
	w.expectWithinMB(descriptors, memoryMB)
}

// expectWithinMB is expectWithin for a process with another limit of memory.
func (w *watched) expectWithinMB(descriptors, memoryMB int) {
	w.t.Helper()
	if !w.machine.Running() || w.machine.ProcessID() != w.pid || w.machine.Incarnation() != 1 {
		w.t.Errorf("the process of %s has ended", w.machine.Name)
		return
	}
	peak := w.machine.PeakMemoryMB()
	if peak == 0 {
		w.t.Errorf("the kernel names no peak of resident memory of %s", w.machine.Name)
	}
	w.t.Logf("%s: peak of resident memory %d of %d MB, of descriptors %d of %d", w.machine.Name, peak, memoryMB, w.descriptors.Load(),
		descriptors)
	if peak > memoryMB {
		w.t.Errorf("%s held %d MB of memory, must stay within %d", w.machine.Name, peak, memoryMB)
	}
	if n := w.descriptors.Load(); n > int64(descriptors) {
		w.t.Errorf("%s held %d descriptors, must stay within %d", w.machine.Name, n, descriptors)
	}
}

// expectBudgetEmpty expects that a process whose clients have left holds nothing for them any more. The process reports that at
// GET /api/memory of an address.
func (tt *testTier) expectBudgetEmpty(addr string) {
	tt.t.Helper()
	ctx, stop := context.WithTimeout(tt.t.Context(), stepTimeout)
	defer stop()
	var last string
	err := tiertest.Await(ctx, "the budget is empty", func(ctx context.Context) bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/memory", nil)
		must(tt.t, err)
		var status int
		status, last = do(req)
		var report struct {
			Limit    int64 `json:"limit_bytes"`
			Used     int64 `json:"used_bytes"`
			Accounts int   `json:"accounts"`
		}
		if status == http.StatusNotFound {
			return true // reported below
		}
		return status == http.StatusOK && json.Unmarshal([]byte(last), &report) == nil && report.Limit > 0 && report.Used == 0 &&
			report.Accounts == 0
	})
	if err != nil || strings.Contains(last, "404") {
		tt.t.Errorf("the budget is not empty at the end: %v: %s", err, last)
	}
}

// crowd is a number of connections to one address, each with a client that sends something and then keeps the connection open.
type crowd struct {
	leave   chan struct{}
	sending sync.WaitGroup // clients that still send
	all     sync.WaitGroup
	refused atomic.Int64 // clients whose connection was ended by the other side while they sent
}

// gather starts the clients of a crowd. send is what one of them does with its connection, up to the point from which it is silent;
// an error is the end of the connection by the other side.
func gather(t *testing.T, addr string, clients int, send func(c net.Conn) error) *crowd {
	t.Helper()
	c := &crowd{leave: make(chan struct{})}
	for range clients {
		c.sending.Add(1)
		c.all.Go(func() {
			sent := sync.OnceFunc(c.sending.Done)
			defer sent()
			nc, err := net.DialTimeout("tcp4", addr, stepTimeout)
			if err != nil {
				c.refused.Add(1)
				return
			}
			defer nc.Close()
			_ = nc.SetDeadline(time.Now().Add(stepTimeout))
			if send(nc) != nil {
				c.refused.Add(1)
			}
			sent()
			<-c.leave
		})
	}
	t.Cleanup(c.disperse)
	return c
}

// awaitSent waits until each client has sent what it sends, or was refused.
func (c *crowd) awaitSent() { c.sending.Wait() }

// disperse has all clients leave. It may be called more than once, by one goroutine.
func (c *crowd) disperse() {
	select {
	case <-c.leave:
	default:
		close(c.leave)
	}
	c.all.Wait()
}

// head returns the head of a request to a path of the tier with these further header lines, each with its CR LF.
func head(method, path, lines string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + tiertest.Hostname + "\r\nX-Attempt-Id: " + newID() +
		"\r\nX-Time-Left-Ms: 8000\r\n" + lines + "\r\n"
}

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// write writes a text to a connection.
func write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// chunk returns n bytes as one chunk.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// writeChunks writes the head of a request whose body is in chunks, and then this number of chunks of trickleChunk bytes. It pauses after
// each of them.
func writeChunks(c net.Conn, head string, count int, pause time.Duration) error {
	if err := write(c, head); err != nil {
		return err
	}
	part := chunk(trickleChunk)
	for range count {
		if err := write(c, part); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}
