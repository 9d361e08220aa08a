// Package rig puts a relay among stand-in partners on loopback and sends messages through it: for the demo,
// for tests and for measurements. What it counts is what the stand-ins and the clients saw.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/appliance"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/standin"
)

// Partner describes one partner of a site.
type Partner struct {
	Name      string
	Kind      string
	Classes   []string
	Zones     []string // one endpoint in each: NAME-1, NAME-2, ...
	Behaviour standin.Behaviour
}

// Bureau are partners as the print bureau has them: one for payments, a courier, a marketplace that takes
// several messages in a call, a customer's system.
func Bureau() []Partner {
	usual := standin.Behaviour{Latency: 30 * time.Millisecond}
	return []Partner{
		{"pay", "separate", []string{"payment"}, []string{"oficinas", "taller"}, usual},
		{"courier", "separate", []string{"job-order", "status-update"}, []string{"almacen"}, usual},
		{"market", "marketplace", []string{"job-order", "status-update"}, []string{"taller", "almacen"}, usual},
		{"campus", "separate", []string{"job-order", "status-update", "payment"}, []string{"taller", "oficinas"}, usual},
	}
}

// File is the operator's file of partners whose endpoints have such addresses.
func File(dir string, partners []Partner, addr func(endpoint string) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "listen = \"127.0.0.1:0\"\nstate  = %q\nstop_within = \"1s\"\nkind \"marketplace\" {\n  per_call = 5\n}\n", dir)
	for _, p := range partners {
		fmt.Fprintf(&b, "partner %q {\n  kind    = %q\n  classes = [\"%s\"]\n", p.Name, p.Kind, strings.Join(p.Classes, `", "`))
		for i, z := range p.Zones {
			id := fmt.Sprintf("%s-%d", p.Name, i+1)
			fmt.Fprintf(&b, "  endpoint %q {\n    address = %q\n    zone    = %q\n  }\n", id, addr(id), z)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// Addresses reserves loopback addresses for notes between relays, which take them again.
func Addresses(n int) (all []string, err error) {
	for range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		defer c.Close()
		all = append(all, c.LocalAddr().String())
	}
	return all, nil
}

// Fleet is the block of an operator's file for one relay of a fleet that hears at listen.
func Fleet(name, listen string, names, addrs []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet {\n  name   = %q\n  listen = %q\n", name, listen)
	for i, n := range names {
		fmt.Fprintf(&b, "  relay %q {\n    address = %q\n  }\n", n, addrs[i])
	}
	return b.String() + "}\n"
}

// Site is a relay among its partners.
type Site struct {
	Partners []Partner
	Ledger   *standin.Ledger
	Hosts    map[string]*standin.Host // by endpoint
	File     *config.File
	App      *appliance.Appliance
	Control  *adminapi.Client
}

// Options of a Site.
type Options struct {
	Dir      string // of the relay's state
	Partners []Partner
	Keep     bool // hosts remember all calls
	Change   func(*config.File)
	Tail     *adminapi.Tail
}

// New starts the hosts, and the relay in this process.
func New(o Options) (*Site, error) {
	s := &Site{Partners: o.Partners, Ledger: standin.NewLedger(15 * time.Second), Hosts: map[string]*standin.Host{}}
	for _, p := range o.Partners {
		for i, z := range p.Zones {
			id := fmt.Sprintf("%s-%d", p.Name, i+1)
			h, err := standin.NewHost(id, z, s.Ledger, p.Behaviour, o.Keep)
			if err != nil {
				s.Close()
				return nil, err
			}
			s.Hosts[id] = h
		}
	}
	var err error
	text := File(o.Dir, o.Partners, func(id string) string { return s.Hosts[id].Addr() })
	if s.File, err = config.Parse([]byte(text), "site.hcl", o.Dir); err != nil {
		s.Close()
		return nil, err
	}
	if o.Change != nil {
		o.Change(s.File)
	}
	if err := s.Start(o.Tail); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Start starts the relay of a site again after it has ended.
func (s *Site) Start(tail *adminapi.Tail) (err error) {
	if s.App, err = appliance.Start(s.File, "rig", tail); err != nil {
		return err
	}
	if s.Control == nil {
		s.Control = adminapi.Dial(s.App.Socket())
	}
	return nil
}

// Close ends what runs: the relay in order, unless it has ended.
func (s *Site) Close() {
	if s.App != nil {
		for _, h := range s.Hosts { // a call that hangs would keep the stop waiting
			h.Set(standin.Behaviour{})
		}
		s.App.Stop("rig")
	}
	if s.Control != nil {
		s.Control.Close()
	}
	for _, h := range s.Hosts {
		h.Close()
	}
}

// Message is one that a Load hands in.
type Message struct{ ID, Class, Partner string }

// Load hands messages in as clients do, and remembers what the relay answered.
type Load struct {
	Addr     string
	Partners []Partner
	Prefix   string // of the ids
	BodySize int    // bytes; 200 if 0
	Deadline time.Duration

	rand   *rand.Rand
	client *http.Client

	mu       sync.Mutex
	drawn    int
	accepted []Message
	rejected int
	errors   []error
	latency  []time.Duration // of the answers 202
}

// NewLoad returns a load that draws from the seed.
func NewLoad(addr string, partners []Partner, seed uint64) *Load {
	dial := &net.Dialer{Timeout: 5 * time.Second}
	return &Load{Addr: addr, Partners: partners, Prefix: "m", rand: rand.New(rand.NewPCG(seed, 0)),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: dial.DialContext,
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 2 * time.Second}}}
}

// Close drops idle connections.
func (l *Load) Close() { l.client.CloseIdleConnections() }

// classShares of each class, as the bureau has it.
var classShares = []struct {
	class string
	upTo  float64
}{{"job-order", 0.49}, {"status-update", 0.75}, {"payment", 1}}

// nextMessage picks the next message.
func (l *Load) nextMessage() Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drawn++
	m := Message{ID: fmt.Sprintf("%s%d", l.Prefix, l.drawn)}
	at := l.rand.Float64()
	for _, s := range classShares {
		if m.Class = s.class; at < s.upTo {
			break
		}
	}
	var may []string
	for _, p := range l.Partners {
		if slices.Contains(p.Classes, m.Class) {
			may = append(may, p.Name)
		}
	}
	if len(may) == 0 {
		m.Class, may = l.Partners[0].Classes[0], []string{l.Partners[0].Name}
	}
	m.Partner = may[l.rand.IntN(len(may))]
	return m
}

// Submit hands one message in, and returns the status.
func (l *Load) Submit(ctx context.Context, m Message) (int, error) {
	size := l.BodySize
	if size == 0 {
		size = 200
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+"/api", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-Id", m.ID)
	req.Header.Set("X-Class", m.Class)
	req.Header.Set("X-Partner", m.Partner)
	if m.Class == "job-order" {
		req.Header.Set("Idempotency-Key", "key-"+m.ID)
	}
	if l.Deadline > 0 {
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(l.Deadline.Milliseconds()))
	}
	begin := time.Now()
	resp, err := l.client.Do(req)
	took := time.Since(begin)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.errors = append(l.errors, err)
		return 0, err
	case resp.StatusCode == http.StatusAccepted:
		l.accepted = append(l.accepted, m)
		l.latency = append(l.latency, took)
	default:
		l.rejected++
	}
	return resp.StatusCode, nil
}

// Run hands in so many messages a second until the context ends, and waits for the answers.
func (l *Load) Run(ctx context.Context, rate float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	room := make(chan struct{}, 256)
	begin := time.Now()
	for n := 0; ; n++ {
		at := begin.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait := time.Until(at); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		select {
		case <-ctx.Done():
			return
		case room <- struct{}{}:
		}
		m := l.nextMessage()
		wg.Go(func() {
			// Not ended with the load: an answer that nobody hears would leave the message's state open.
			l.Submit(context.WithoutCancel(ctx), m)
			<-room
		})
	}
}

// Accepted are the messages that the relay has taken on.
func (l *Load) Accepted() []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.accepted)
}

// Rejected is how many were turned away at the door, and Errors what went wrong otherwise.
func (l *Load) Rejected() int { l.mu.Lock(); defer l.mu.Unlock(); return l.rejected }

// Errors are those of the connections.
func (l *Load) Errors() []error { l.mu.Lock(); defer l.mu.Unlock(); return slices.Clone(l.errors) }

// Latencies are the times to the answers 202, from the answer with the number since on.
func (l *Load) Latencies(since int) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.latency[min(since, len(l.latency)):])
}

// Latency returns quantiles of the time to the answer 202, from the answer with the number since on, and
// how many there are.
func (l *Load) Latency(since int, quantiles ...float64) ([]time.Duration, int) {
	all := l.Latencies(since)
	slices.Sort(all)
	var out []time.Duration
	for _, q := range quantiles {
		d := time.Duration(0)
		if len(all) > 0 {
			d = all[min(len(all)-1, int(q*float64(len(all))))]
		}
		out = append(out, d)
	}
	return out, len(all)
}

// Tally is how messages stand.
type Tally struct {
	Delivered, Refused, Failed, Open, Unknown int
	Wrong                                     []string // ids that contradict what the stand-ins saw
	Why                                       []string // messages failed, with their attempts
}

// String gives the counts in one line.
func (t Tally) String() string {
	return fmt.Sprintf("delivered %d, refused %d, failed %d, open %d, unknown %d", t.Delivered, t.Refused, t.Failed, t.Open, t.Unknown)
}

// Count asks the front for each message's state, and compares it with the ledger: one that is delivered has
// taken effect, one that was refused has not, unless it may be repeated.
func (l *Load) Count(ctx context.Context, messages []Message, ledger *standin.Ledger) (t Tally, err error) {
	for _, m := range messages {
		state, err := l.Query(ctx, m.ID)
		if err != nil {
			return t, err
		}
		n := ledger.Effects(m.ID)
		wrong := m.Class == "payment" && n > 1
		switch state.State {
		case adminapi.Delivered:
			t.Delivered++
			wrong = wrong || n == 0
		case adminapi.Refused:
			t.Refused++
			wrong = wrong || n > 0 && m.Class != "status-update"
		case adminapi.Fails:
			t.Failed++
			t.Why = append(t.Why, fmt.Sprintf("%s %s: %s %+v", m.Class, m.ID, state.Why, state.Attempts))
		case "":
			t.Unknown++
		default:
			t.Open++
		}
		if wrong {
			t.Wrong = append(t.Wrong, fmt.Sprintf("%s %s: %s with %d effects", m.Class, m.ID, state.State, n))
		}
	}
	return t, nil
}

// Query asks the front for one message; one that is unknown has no state.
func (l *Load) Query(ctx context.Context, id string) (m adminapi.Message, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr+"/api/"+id, nil)
	if err != nil {
		return m, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return m, err
	}
	defer resp.Body.Close()
	defer io.Copy(io.Discard, resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return m, json.NewDecoder(resp.Body).Decode(&m)
	case http.StatusNotFound:
		return m, nil
	}
	return m, fmt.Errorf("asked for %s: status %d", id, resp.StatusCode)
}

// StateDir is the state folder under a short path of its own, as a socket's path may be no longer than 107 bytes.
func StateDir(base string) string { return filepath.Join(base, "s") }
