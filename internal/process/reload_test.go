package process

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const reloadable = "node_name: n\nip_addr: 127.0.0.1\nport_range: [7000, 7010]\nseed_nodes: ['127.0.0.1:%']\n"

func TestSettingsAreReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	with := func(port string) string { return strings.Replace(reloadable, "%", port, 1) }
	write(with("1"))
	told, look := make(chan os.Signal), make(chan time.Time)
	got := make(chan string, 1)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	begun := make(chan bool)
	wg.Go(func() {
		close(begun)
		follow(ctx, NewLogger(io.Discard), path, told, look, func(s *Settings) { got <- s.Seeds[0] })
	})
	<-begun
	defer wg.Wait()
	defer stop()
	told <- syscall.SIGHUP // unchanged, but asked for
	if seed := <-got; seed != "127.0.0.1:1" {
		t.Fatal(seed)
	}
	look <- time.Time{} // unchanged: nothing is applied
	write(with("2"))
	look <- time.Time{}
	if seed := <-got; seed != "127.0.0.1:2" {
		t.Fatalf("%s: a file that changes without a signal is not read", seed)
	}
	write("node_name: [")
	told <- syscall.SIGHUP // wrong: what runs stays
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	told <- syscall.SIGHUP
	write(with("3"))
	told <- syscall.SIGHUP
	if seed := <-got; seed != "127.0.0.1:3" {
		t.Fatalf("%s: after wrong settings the right ones are not read", seed)
	}
}

func TestSIGHUPEndsNoProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(strings.Replace(reloadable, "%", "1", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(SettingsVariable, path)
	ctx, stop := context.WithCancel(context.Background())
	got := make(chan string, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		WatchSettings(ctx, NewLogger(io.Discard), func(s *Settings) {
			select {
			case got <- s.Seeds[0]:
			default:
			}
		})
	})
	defer wg.Wait()
	defer stop()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil { // perhaps before Follow listens
		t.Fatal(err)
	}
	select {
	case seed := <-got:
		if seed != "127.0.0.1:1" {
			t.Fatal(seed)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("SIGHUP had nothing read")
	}
}
