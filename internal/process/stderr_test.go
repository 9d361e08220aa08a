package process

import (
	"bufio"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process whose log nobody read hung with its next line, for good.
func TestLogWriterDoesNotBlock(t *testing.T) {
	r, f, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer f.Close()
	w := NewLogWriter(f)
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 500 // more than a pipe holds
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Errorf("%d, %v", n, err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocks")
	}
	in := bufio.NewReader(r)
	read := 0
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(text, "log lines dropped") {
			break
		}
		if read++; read == 1 {
			go func() { // the reader is back
				time.Sleep(100 * time.Millisecond)
				_, _ = w.Write([]byte("last\n"))
			}()
		}
	}
	if text, err := in.ReadString('\n'); err != nil || text != "last\n" {
		t.Errorf("%q, %v after the notice", text, err)
	}
	if read == lines {
		t.Error("nothing was dropped")
	}
}

// A signal that interrupted the question whether the file takes a line let the line through, which then blocked.
func TestLogWriterDoesNotBlockBesideSignals(t *testing.T) {
	r, f, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	w := NewLogWriter(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200_000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	timeout := time.NewTimer(20 * time.Second)
	defer timeout.Stop()
	for {
		select {
		case <-done:
			r.Close()
			return
		case <-timeout.C:
			r.Close() // ends the write
			<-done
			t.Fatal("a write blocks")
		default:
			_ = syscall.Kill(os.Getpid(), syscall.SIGURG) // as the runtime does
		}
	}
}
