package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"

	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"

	"time"
)

// canned starts a host that responds to every request, which must have no body, with the same bytes.
func canned(b *testing.B, answer string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				buf := make([]byte, 4096)
				for {
					if _, err := nc.Read(buf); err != nil {
						return
					}
					if _, err := io.WriteString(nc, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func benchmark(b *testing.B, path, answer string, ends []byte) {
	cfg, err := routing.Parse([]byte(testConfig))
	if err != nil {
		b.Fatal(err)
	}
	src := newSource()
	l := &discovery.List{Term: 1, Number: 1}
	for _, service := range []string{"plain", "engine"} {
		l.Hosts = append(l.Hosts, discovery.Host{ID: "i-" + service, Service: service, Addr: canned(b, answer), Zone: "z", Capacity: 4, Phase: discovery.Ready})
	}
	src.set(func(tb *feed.Tables) { tb.Config, tb.Placement, tb.Hosts = cfg, &turnstore.Placement{}, l })
	s := New(Options{Zone: "z", Source: src, Ledger: &ledger{}, NewOracle: func(time.Duration) balancer.Oracle { return &oracle{} }})
	fl, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(fl, nil)
	defer s.Close()
	nc, err := net.Dial("tcp4", fl.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	rq := requestText("GET", path, "a", turnHeader, "")
	var got []byte
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(nc, rq); err != nil {
			b.Fatal(err)
		}
		for got = got[:0]; !bytes.HasSuffix(got, ends); {
			if _, err := in.Peek(1); err != nil {
				b.Fatal(err)
			}
			seen, _ := in.Peek(in.Buffered())
			got = append(got, seen...)
			_, _ = in.Discard(len(seen))
		}
		if !bytes.HasPrefix(got, []byte("HTTP/1.1 200")) {
			b.Fatalf("%s", got)
		}
	}
}

func BenchmarkPlain(b *testing.B) {
	benchmark(b, "/tool/x", reply("a", 200, "X-Host-Load: 1,0,4\r\nKeep-Alive: timeout=20\r\n", "the bytes"), []byte("the bytes"))
}

func BenchmarkTurn(b *testing.B) {
	text := "HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: a\r\nX-Host-Load: 1,0,4\r\nKeep-Alive: timeout=20\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := range 17 {
		text += chunk(event(i, "two tokens"))
	}
	benchmark(b, "/turn/x", text+lastChunk, []byte(lastChunk))
}
