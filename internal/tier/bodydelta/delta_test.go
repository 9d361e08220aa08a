package bodydelta

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

const limit = 8 << 20

// routes returns a body like a configuration with n routes; the changed ones have another target.
func routes(n int, changed ...int) []byte {
	var b strings.Builder
	b.WriteString(`{"config_version":1,"route_table":[`)
	at := map[int]bool{}
	for _, i := range changed {
		at[i] = true
	}
	for i := range n {
		target := fmt.Sprintf("service-%d", i%31)
		if at[i] {
			target = "other-service"
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host_name":"h%d.example","path_prefix":"/v1/%d/","route_kind":"idempotent",`+
			`"deadline_ms":30000,"target_ms":9000,"max_attempts":3,"target_service":"%s"},`, i, i%680, i, target)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// check computes and applies a delta and returns it.
func check(t interface {
	Helper()
	Fatalf(string, ...any)
}, old, new []byte) []byte {
	t.Helper()
	d := Diff(old, new)
	got, err := Apply(old, d, limit)
	if err != nil || !bytes.Equal(got, new) {
		t.Fatalf("apply: %v, %d bytes, want %d", err, len(got), len(new))
	}
	return d
}

func TestDiffOfSmallChangesIsSmall(t *testing.T) {
	old := routes(5000)
	swapped := append(append(append([]byte{}, old[700_000:]...), old[100_000:700_000]...), old[:100_000]...)
	for name, test := range map[string]struct {
		new   []byte
		limit int
	}{
		"no change":                 {old, headerSize + 8},
		"one route":                 {routes(5000, 2500), headerSize + 40},
		"first, middle and last":    {routes(5000, 0, 2500, 4999), headerSize + 100},
		"a hundred routes":          {routes(5000, every(50, 100)...), headerSize + 100*30},
		"one route added":           {routes(5001), headerSize + 250},
		"many routes removed":       {routes(3000), headerSize + 20},
		"three parts swapped":       {swapped, headerSize + 60},
		"old body twice":            {append(bytes.Clone(old), old...), headerSize + 20},
		"all but one block removed": {old[500_000:500_032], headerSize + 20},
	} {
		if d := check(t, old, test.new); len(d) > test.limit {
			t.Errorf("%s: a delta of %d bytes, want at most %d", name, len(d), test.limit)
		}
	}
}

// every returns n multiples of step.
func every(step, n int) (at []int) {
	for i := range n {
		at = append(at, i*step)
	}
	return at
}

func TestDiffOfUnrelatedBodies(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	noise := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		return b
	}
	old, new := noise(100_000), noise(100_000)
	if d := check(t, old, new); len(d) > len(new)+headerSize+16 {
		t.Errorf("a delta of %d bytes for a new body of %d", len(d), len(new))
	}
	check(t, nil, new)
	check(t, old, nil)
	check(t, nil, nil)
	check(t, bytes.Repeat([]byte{7}, 70_000), bytes.Repeat([]byte{7}, 90_001))
}

// drawPair draws an old body and a new one with some edits. With few different bytes blocks repeat.
func drawPair(t *rapid.T) (old, new []byte) {
	letters := rapid.SampledFrom([]byte{1, 2, 4, 255}).Draw(t, "letters")
	bodies := rapid.SliceOfN(rapid.ByteRange(0, letters), 0, 400)
	old = bytes.Repeat(bodies.Draw(t, "old"), rapid.IntRange(1, 3).Draw(t, "repeats"))
	new = bytes.Clone(old)
	for range rapid.IntRange(0, 6).Draw(t, "edits") {
		from := rapid.IntRange(0, len(new)).Draw(t, "from")
		to := rapid.IntRange(from, min(len(new), from+100)).Draw(t, "to")
		put := rapid.SliceOfN(rapid.ByteRange(0, letters), 0, 60).Draw(t, "put")
		new = append(append(bytes.Clone(new[:from]), put...), new[to:]...)
	}
	if rapid.Bool().Draw(t, "rotated") && len(new) > 0 {
		at := rapid.IntRange(0, len(new)-1).Draw(t, "rotate at")
		new = append(bytes.Clone(new[at:]), new[:at]...)
	}
	return old, new
}

func TestApplyReturnsTheNewBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, new := drawPair(t)
		d := check(t, old, new)
		if len(d) > headerSize+len(new)+16 {
			t.Fatalf("a delta of %d bytes for a body of %d", len(d), len(new))
		}
	})
}

// An altered delta returns an error, or the right body if the change has no effect.
func TestAlteredDeltaNeverMakesWrongBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, new := drawPair(t)
		d := Diff(old, new)
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			at := rapid.IntRange(0, len(d)-1).Draw(t, "at")
			d[at] ^= rapid.ByteRange(1, 255).Draw(t, "bits")
		case 1:
			d = d[:rapid.IntRange(0, len(d)-1).Draw(t, "cut")]
		case 2:
			d = append(d, rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "tail")...)
		}
		if got, err := Apply(old, d, limit); err == nil && !bytes.Equal(got, new) {
			t.Fatalf("a wrong body of %d bytes and no error", len(got))
		}
	})
}

func TestApplyToAnotherBodyIsAnError(t *testing.T) {
	old, new := routes(10), routes(10, 4)
	if _, err := Apply(routes(10, 5), Diff(old, new), limit); !errors.Is(err, ErrBase) {
		t.Errorf("against another body: %v", err)
	}
}

func TestApplyRespectsTheLimit(t *testing.T) {
	old := routes(100)
	d := Diff(old, append(bytes.Clone(old), old...))
	if _, err := Apply(old, d, 2*len(old)); err != nil {
		t.Errorf("at the limit: %v", err)
	}
	if _, err := Apply(old, d, 2*len(old)-1); !errors.Is(err, ErrTooLong) {
		t.Errorf("one byte above the limit: %v", err)
	}
	bomb := bytes.Clone(d[:headerSize]) // makes some 4 GB
	for range 200_000 {
		bomb = binary.AppendUvarint(bomb, operationHeader(len(old), copyRange))
		bomb = binary.AppendVarint(bomb, int64(-len(old)))
	}
	if _, err := Apply(old, bomb, limit); err == nil {
		t.Error("a delta of some GB was applied")
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, _ = Apply(old, bomb, limit)
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	if allocated > 64<<10 {
		t.Errorf("a delta of some GB allocated %d bytes", allocated)
	}
}

// Planted fault: an apply without digests. The comparison of the tests above must find it.
func TestCheckFindsApplyWithoutDigests(t *testing.T) {
	applyUnchecked := func(old, delta []byte) (body []byte) {
		_ = forEachOperation(delta[headerSize:], len(old), func(from, length int, insert []byte) error {
			if insert == nil {
				insert = old[from : from+length]
			}
			body = append(body, insert...)
			return nil
		})
		return body
	}
	old, new := routes(10), routes(10, 4)
	d := Diff(old, new)
	at := bytes.Index(d[headerSize:], []byte("other")) + headerSize
	d[at] ^= 1
	if bytes.Equal(applyUnchecked(old, d), new) {
		t.Fatal("the planted fault was not found")
	}
	if _, err := Apply(old, d, limit); !errors.Is(err, ErrCorrupt) {
		t.Errorf("an altered insert: %v", err)
	}
}

func FuzzApply(f *testing.F) {
	old, new := routes(5), routes(5, 2)
	f.Add(old, Diff(old, new))
	f.Add([]byte{}, Diff(nil, new))
	f.Fuzz(func(t *testing.T, old, delta []byte) {
		body, err := Apply(old, delta, 1<<16)
		if err == nil && (len(body) > 1<<16 || DigestOf(body) != Digest(delta[1+len(Digest{}):headerSize])) {
			t.Fatalf("the body has another digest or is too long: %d bytes", len(body))
		}
	})
}

func FuzzDiff(f *testing.F) {
	f.Add(routes(5), routes(5, 2))
	f.Fuzz(func(t *testing.T, old, new []byte) { check(t, old, new) })
}

func BenchmarkDiffOneRouteOf1MB(b *testing.B) {
	old, new := routes(5400), routes(5400, 2700)
	b.SetBytes(int64(len(new)))
	for b.Loop() {
		Diff(old, new)
	}
	b.ReportMetric(float64(len(Diff(old, new))), "delta_bytes")
}

func BenchmarkDiffFirstAndLastRouteOf1MB(b *testing.B) {
	old, new := routes(5400), routes(5400, 0, 5399)
	b.SetBytes(int64(len(new)))
	for b.Loop() {
		Diff(old, new)
	}
	b.ReportMetric(float64(len(Diff(old, new))), "delta_bytes")
}

func BenchmarkApplyOneRouteOf1MB(b *testing.B) {
	old, new := routes(5400), routes(5400, 2700)
	d := Diff(old, new)
	b.SetBytes(int64(len(new)))
	for b.Loop() {
		if _, err := Apply(old, d, limit); err != nil {
			b.Fatal(err)
		}
	}
}
