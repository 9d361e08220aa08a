package archive

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkTurn is one turn on three stores and one front, all in this process; its history is 20 turns.
func BenchmarkTurn(b *testing.B) {
	tr := tierOf(b, 3, true)
	c := tr.client()
	input, output := bytes.Repeat([]byte("i"), 2000), bytes.Repeat([]byte("token\n"), 100)
	b.ReportAllocs()
	b.SetParallelism(32)
	b.RunParallel(func(pb *testing.PB) {
		program, previous, n := "", "", 0
		for ; pb.Next(); n++ {
			if n%20 == 0 {
				program, previous = fmt.Sprintf("%p-%d", pb, n), ""
			}
			id := fmt.Sprintf("%s-%d", program, n)
			opened, err := c.Open(context.Background(), Opening{Program: program, Turn: id, Previous: previous, Need: 10, Budget: 10_000})
			if err != nil {
				b.Fatal(err)
			}
			if err := c.Close(context.Background(), opened.Record(input, output, 5, 30*time.Second)); err != nil {
				b.Fatal(err)
			}
			previous = id
		}
	})
}
