package process

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// withSeed returns valid settings with one seed, at a port of 127.0.0.1.
func withSeed(port string) string {
	return "node_name: n\nip_addr: 127.0.0.1\nport_range: [7000, 7010]\nseed_nodes: ['127.0.0.1:" + port + "']\n"
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestWatchAppliesChangedSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	writeFile(t, path, withSeed("1"))
	signals, polls := make(chan os.Signal), make(chan time.Time)
	got := make(chan string, 1)
	ctx, stop := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	begun := make(chan bool)
	watching.Go(func() {
		close(begun)
		watch(ctx, NewLogger(io.Discard), path, []byte(withSeed("1")), signals, polls, func(s *Settings) { got <- s.Seeds[0] })
	})
	<-begun
	defer watching.Wait()
	defer stop()
	signals <- syscall.SIGHUP // unchanged, but forced
	if seed := <-got; seed != "127.0.0.1:1" {
		t.Fatal(seed)
	}
	polls <- time.Time{} // unchanged: nothing is applied
	writeFile(t, path, withSeed("2"))
	polls <- time.Time{}
	if seed := <-got; seed != "127.0.0.1:2" {
		t.Fatalf("%s: a file that changes without a signal is not read", seed)
	}
	writeFile(t, path, "node_name: [")
	signals <- syscall.SIGHUP // invalid: nothing is applied
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	writeFile(t, path, withSeed("3"))
	signals <- syscall.SIGHUP
	if seed := <-got; seed != "127.0.0.1:3" {
		t.Fatalf("%s: valid settings after invalid ones are not read", seed)
	}
}

// Settings that changed between their first reading and the watch, such as while a start waited, were never applied.
func TestWatchAppliesSettingsChangedDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	writeFile(t, path, withSeed("1"))
	t.Setenv(SettingsVariable, path)
	loaded, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, withSeed("2"))
	ctx, stop := context.WithCancel(t.Context())
	polls, got := make(chan time.Time, 1), make(chan string, 1)
	polls <- time.Time{}
	var watching sync.WaitGroup
	watching.Go(func() {
		watch(ctx, NewLogger(io.Discard), path, loaded.contents, nil, polls, func(s *Settings) { got <- s.Seeds[0] })
	})
	defer watching.Wait()
	defer stop()
	select {
	case seed := <-got:
		if seed != "127.0.0.1:2" {
			t.Error(seed)
		}
	case <-time.After(10 * time.Second):
		t.Error("the changed settings were not applied")
	}
}

func TestSIGHUPReloadsAndDoesNotTerminate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	writeFile(t, path, withSeed("1"))
	t.Setenv(SettingsVariable, path)
	ctx, stop := context.WithCancel(context.Background())
	got := make(chan string, 1)
	var watching sync.WaitGroup
	watching.Go(func() {
		WatchSettings(ctx, NewLogger(io.Discard), &Settings{}, func(s *Settings) {
			select {
			case got <- s.Seeds[0]:
			default:
			}
		})
	})
	defer watching.Wait()
	defer stop()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil { // possibly before WatchSettings runs
		t.Fatal(err)
	}
	select {
	case seed := <-got:
		if seed != "127.0.0.1:1" {
			t.Fatal(seed)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no settings were applied")
	}
}
