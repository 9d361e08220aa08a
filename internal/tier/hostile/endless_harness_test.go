package hostile

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/tiertest"
)

// The services whose hosts send without end, and the routes to them.
const (
	endlessModels = "endless-models"
	endlessTools  = "endless-tools"

	retainedPath  = "/endless/retained/"
	resumablePath = "/endless/resumable/"
	streamPath    = "/endless/stream/"
	readPath      = "/endless/read/"
	writePath     = "/endless/write/"
)

const (
	endlessDeadline = 2 * time.Second  // deadline_ms of these routes
	ordinaryTarget  = time.Second      // target_ms of the ordinary routes
	endlessTokens   = 40               // that a turn of a caller puts out at most
	hostsTimeout    = 20 * time.Second // for fronts to use new hosts
	firstBytes      = 1 << 10          // of a response, that show that its host is used
)

var (
	streamPaths  = []string{retainedPath, resumablePath, streamPath}
	toolPaths    = []string{readPath, writePath}
	endlessPaths = append(append([]string{}, streamPaths...), toolPaths...)
)

// endlessConfig adds the routes and services of hosts that send without end to a configuration.
func endlessConfig(c tiertest.Config) tiertest.Config {
	c.Version++
	route := func(path, kind, service string) tiertest.Route {
		return tiertest.Route{Name: strings.Trim(path, "/"), Host: tiertest.Hostname, Prefix: path, Kind: kind,
			DeadlineMs: endlessDeadline.Milliseconds(), TargetMs: 500, Service: service, MaxAttempts: 2}
	}
	retained, resumable := route(retainedPath, tiertest.Streaming, endlessModels), route(resumablePath, tiertest.Streaming, endlessModels)
	retained.Retained, retained.RetentionS = true, tiertest.Retention.Seconds()
	resumable.Resumable = true
	c.Routes = append(c.Routes, retained, resumable, route(streamPath, tiertest.Streaming, endlessModels),
		route(readPath, tiertest.Idempotent, endlessTools), route(writePath, tiertest.NonIdempotent, endlessTools))
	backend := &tiertest.Backend{Capacity: bodyCrowd, CacheTokens: 1 << 20, EventTokens: tiertest.EventTokens, Models: []tiertest.Model{{Name: tiertest.ModelName}}}
	for name, backend := range map[string]*tiertest.Backend{endlessModels: backend, endlessTools: nil} {
		c.Services = append(c.Services, tiertest.Service{Name: name, HealthPath: "/health", ConnLimit: 8 * bodyCrowd, Protocol: "h1", Backend: backend})
	}
	return c
}

// endlessTier is a tier with services whose hosts send without end.
type endlessTier struct {
	*testTier
	hosts []*modelhost.Host // of both services
}

// startEndlessTier starts a tier that serves, with fronts, limits and variables of options, and the routes to hosts that send without end.
func startEndlessTier(t *testing.T, o tiertest.Options) *endlessTier {
	t.Helper()
	tt := &endlessTier{testTier: startTierWith(t, o, maxHeadBytes)}
	tt.config = endlessConfig(tt.config)
	ctx, stop := context.WithTimeout(t.Context(), stepTimeout)
	defer stop()
	must(t, tt.Configure(ctx, tt.config))
	return tt
}

// replaceHosts replaces the hosts of both services by a faulty one and a proper one each, and waits until all fronts know them.
func (tt *endlessTier) replaceHosts(fault modelhost.Fault, proper bool) {
	tt.t.Helper()
	faults := []modelhost.Fault{fault}
	if proper {
		faults = append(faults, modelhost.Fault{})
	}
	tt.replaceHostsBy(faults)
}

// replaceHostsBy replaces the hosts of both services by one with each of some faults, and waits until all fronts know them.
func (tt *endlessTier) replaceHostsBy(faults []modelhost.Fault) {
	tt.t.Helper()
	for _, host := range tt.hosts {
		tt.Platform.Crash(host.Options().ID)
	}
	tt.hosts = nil
	for _, fault := range faults {
		for _, o := range []modelhost.Options{
			{Service: endlessModels, Model: tiertest.ModelName, Version: 1, EventTokens: tiertest.EventTokens, CacheTokens: 1 << 20, EventInterval: eventInterval},
			{Service: endlessTools, CallDuration: eventInterval, ResponseBytes: tiertest.ToolResponseBytes},
		} {
			o.Capacity, o.QueueLimit, o.ConnLimit = 2*bodyCrowd, 2*bodyCrowd, 8*bodyCrowd
			host, err := tt.AddHost(o)
			must(tt.t, err)
			host.SetFault(fault)
			tt.hosts = append(tt.hosts, host)
		}
	}
	ctx, stop := context.WithTimeout(tt.t.Context(), hostsTimeout)
	defer stop()
	for _, front := range tt.Class(tiertest.Front) {
		must(tt.t, tiertest.Await(ctx, front.Name+" uses the new hosts", func(ctx context.Context) bool {
			startCallers(ctx, front, []string{streamPath, readPath}, 4, firstBytes, 0)()
			for _, host := range tt.hosts {
				if len(tt.RunLog.ForHost(host.Options().ID)) == 0 && host.Rejected() == 0 {
					return false
				}
			}
			return true
		}))
	}
}

// largeEvent is the size in bytes of the data of the events of large turns.
const largeEvent = 32 << 10

// replaceLargeHost replaces the hosts by one of models whose turns have so many bytes and a proper end.
func (tt *endlessTier) replaceLargeHost(size int) {
	tt.t.Helper()
	tt.replaceHosts(modelhost.Fault{}, false)
	for _, host := range tt.hosts {
		if host.Options().Service == endlessModels {
			host.SetFault(modelhost.Fault{Kind: modelhost.LargeEvents, After: size / largeEvent, EventBytes: largeEvent})
		}
	}
}

// endlessBytes is what a caller reads of a response at most.
const endlessBytes = 1 << 30

// endlessCaller sends one request for a path whose host may send without end.
type endlessCaller struct {
	addr, path string
	method     string // "" for one that suits the path
	unbounded  bool   // the request does not say how many tokens come out at most
	reads      int64  // bytes of the response at most; 0 for none, with its connection left open until the deadline
}

// call sends the request and returns the status, 0 for none, and whether the response is complete.
func (c *endlessCaller) call(ctx context.Context) (status int, complete bool) {
	ctx, stop := context.WithTimeout(ctx, endlessDeadline)
	defer stop()
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+c.path, strings.NewReader("x"))
	if err != nil {
		return 0, false
	}
	id := newID()
	req.Host = tiertest.Hostname
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Time-Left-Ms": strconv.FormatInt(endlessDeadline.Milliseconds(), 10),
		"X-Model": tiertest.ModelName, "X-Token-Usage": fmt.Sprintf("10,%d", endlessTokens), "Program": id, "Session": id, "Budget": "100000"} {
		req.Header.Set(name, value)
	}
	if c.unbounded {
		req.Header.Del("X-Token-Usage")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(req)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	if c.reads == 0 {
		<-ctx.Done()
		return response.StatusCode, false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, c.reads))
	return response.StatusCode, err == nil && n < c.reads
}

// outcomes counts how the calls of a crowd ended.
type outcomes struct {
	calls, complete atomic.Int64
	spent, lost     atomic.Int64 // time in all calls, and in those without a complete response, in nanoseconds
	statuses        sync.Map     // count by status, of *atomic.Int64
}

func (o *outcomes) add(status int, complete bool, took time.Duration) {
	o.calls.Add(1)
	o.spent.Add(int64(took))
	if complete && status == http.StatusOK {
		o.complete.Add(1)
	} else {
		o.lost.Add(int64(took))
	}
	count, _ := o.statuses.LoadOrStore(status, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
}

// String returns the counts.
func (o *outcomes) String() string {
	text := fmt.Sprintf("%d calls, %d complete;", o.calls.Load(), o.complete.Load())
	o.statuses.Range(func(status, count any) bool {
		text += fmt.Sprintf(" %d: %d", status, count.(*atomic.Int64).Load())
		return true
	})
	return text
}

// startCallers starts so many callers for each of some paths, which call once, and again and again for a time. The returned function
// waits for them.
func startCallers(ctx context.Context, front *tiertest.Machine, paths []string, callers int, reads int64, lasting time.Duration) (wait func() *outcomes) {
	var all sync.WaitGroup
	result := &outcomes{}
	until := time.Now().Add(lasting)
	for _, path := range paths {
		for range callers {
			all.Go(func() {
				for again := true; again; again = ctx.Err() == nil && time.Now().Before(until) {
					c := &endlessCaller{addr: front.FrontAddr(), path: path, reads: reads}
					began := time.Now()
					status, complete := c.call(ctx)
					result.add(status, complete, time.Since(began))
				}
			})
		}
	}
	return func() *outcomes { all.Wait(); return result }
}

// resetPeak sets the peak of a process's resident memory to what it holds now.
func resetPeak(t *testing.T, pid int) {
	t.Helper()
	must(t, os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0))
}

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must(t, err)
	const userTime, ticksPerSecond = 11, 100 // field behind the name of the program, of which the second is the system's
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var ticks int
	for _, field := range fields[userTime : userTime+2] {
		n, err := strconv.Atoi(field)
		must(t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// ordinaryTimes sends ordinary requests one after the other for a time, and returns how long each took. A request that fails counts as
// one of the time of its caller's patience.
func (tt *testTier) ordinaryTimes(lasting time.Duration) (times []time.Duration) {
	tt.t.Helper()
	for until := time.Now().Add(lasting); time.Now().Before(until); {
		began := time.Now()
		status := tt.try(tt.t.Context(), http.MethodGet, tiertest.ReadPath, nil)
		took := time.Since(began)
		if status != http.StatusOK {
			took = callerTimeout
		}
		times = append(times, took)
	}
	return times
}
