package bodydelta

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestCompressRoundTrip(t *testing.T) {
	random := make([]byte, 10_000)
	for i := range random {
		random[i] = byte(rand.N(256))
	}
	for name, body := range map[string][]byte{
		"empty": nil, "one byte": {7}, "text": bytes.Repeat([]byte("host_name "), 20_000), "random": random,
	} {
		delta := Compress(body, DigestOf(body))
		if !IsCompressed(delta) {
			t.Errorf("%s: not recognized", name)
		}
		got, err := Apply(nil, delta, len(body))
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
		if _, err := Apply([]byte("x"), delta, 1<<20); !errors.Is(err, ErrBase) {
			t.Errorf("%s: applied to another body: %v", name, err)
		}
	}
	if delta := Compress(bytes.Repeat([]byte("host_name "), 20_000), Digest{}); len(delta) > 4000 {
		t.Errorf("200 KB of one text are %d bytes", len(delta))
	}
	if IsCompressed(Diff(nil, []byte("x"))) || IsCompressed(nil) {
		t.Error("a delta of Diff is taken for a compressed body")
	}
}

func TestCompressedBodyIsChecked(t *testing.T) {
	body := bytes.Repeat([]byte("a route and its service; "), 1000)
	delta := Compress(body, DigestOf(body))
	for name, test := range map[string]struct {
		delta []byte
		limit int
		want  error
	}{
		"over the limit":       {delta, len(body) - 1, ErrTooLong},
		"cut short":            {delta[:len(delta)-9], len(body), ErrCorrupt},
		"only a header":        {delta[:headerSize], len(body), ErrCorrupt},
		"another digest":       {Compress(body, Digest{}), len(body), ErrCorrupt},
		"smaller than it says": {withSize(delta, len(body)+1), len(body) + 1, ErrCorrupt},
		"larger than it says":  {withSize(delta, len(body)-1), len(body), ErrCorrupt},
		"a size beyond belief": {withSize(delta, 1<<30), 1 << 31, ErrCorrupt},
	} {
		if _, err := Apply(nil, test.delta, test.limit); !errors.Is(err, test.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for range 2000 {
		damaged := bytes.Clone(delta)
		damaged[rand.N(len(damaged))] ^= byte(1 + rand.N(255))
		if got, err := Apply(nil, damaged, len(body)); err == nil && !bytes.Equal(got, body) {
			t.Fatal("a damaged delta makes another body")
		}
	}
}

// withSize returns a delta of Compress that claims another size of its body.
func withSize(delta []byte, size int) []byte {
	claimed := Compress(make([]byte, 0), Digest{})[:headerSize]
	copy(claimed, delta[:headerSize])
	old := len(uvarint(len("a route and its service; ") * 1000))
	return append(append(claimed, uvarint(size)...), delta[headerSize+old:]...)
}

func uvarint(n int) []byte { return binary.AppendUvarint(nil, uint64(n)) }
