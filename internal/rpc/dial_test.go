package rpc

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestClientsUseDialFunc(t *testing.T) {
	_, c := serve(t, map[Method]Handler{echo: func(context.Context, []byte) (any, error) {
		return &struct{ Text string }{"here"}, nil
	}})
	asked := ""
	clients := Clients{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		asked = addr
		return dialTCP(ctx, c.addr)
	}}
	defer clients.Close()
	var response struct{ Text string }
	err := clients.To("127.9.9.9:1").Call(t.Context(), echo, &struct{ Text string }{"q"}, &response)
	if err != nil || response.Text != "here" {
		t.Fatal(response, err)
	}
	if asked != "127.9.9.9:1" {
		t.Errorf("dialled for %q", asked)
	}
}

func TestDialTimeout(t *testing.T) {
	clients := Clients{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	defer clients.Close()
	err := clients.To("127.9.9.9:1").Call(context.Background(), echo, &struct{ Unused bool }{}, nil)
	if !errors.Is(err, ErrUnsent) {
		t.Fatal(err)
	}
}
