package rpc

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestClientsUseDialFunc(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(map[Method]Handler{1: func(context.Context, []byte) (any, error) { return &struct{ Text string }{"here"}, nil }})
	done := make(chan struct{})
	go func() { defer close(done); server.Serve(l) }()
	defer func() { server.Close(); <-done }()
	asked := ""
	calls := Clients{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		asked = addr
		return dialTCP(ctx, l.Addr().String())
	}}
	defer calls.Close()
	var answer struct{ Text string }
	if err := calls.To("127.9.9.9:1").Call(t.Context(), 1, &struct{ Text string }{"q"}, &answer); err != nil || answer.Text != "here" {
		t.Fatal(answer, err)
	}
	if asked != "127.9.9.9:1" {
		t.Errorf("dialled for %q", asked)
	}
}

func TestDialTimeout(t *testing.T) {
	calls := Clients{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	defer calls.Close()
	if err := calls.To("127.9.9.9:1").Call(context.Background(), 1, &struct{ Unused bool }{}, nil); !errors.Is(err, ErrUnsent) {
		t.Fatal(err)
	}
}
