package override

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/internal/relay/gossip"
)

var histories = flag.Int("histories", 100, "random histories of TestFleetAgrees")

func word(t *rapid.T) Word {
	return Word{Subject: rapid.SampledFrom([]string{"endpoint:a", "endpoint:b", "partner:p"}).Draw(t, "subject"), On: rapid.Bool().Draw(t, "on"),
		Count: rapid.Uint64Range(1, 3).Draw(t, "count"), Origin: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "origin"),
		By: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "by"), AtMs: rapid.Int64Range(-1, 1).Draw(t, "at")}
}

// Whatever order words come in, and however often, books end the same, and so do their digests.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(word), 1, 12).Draw(t, "words")
		a, b := NewBook(), NewBook()
		for _, w := range words {
			a.Merge(w)
		}
		for _, i := range rapid.Permutation(words).Draw(t, "order") {
			b.Merge(i)
			if b.Merge(i) {
				t.Fatal("the same word twice changed the book")
			}
		}
		for _, w := range a.All() {
			if a.Merge(w) {
				t.Fatal("a book merged with itself changed")
			}
		}
		if fmt.Sprint(a.All()) != fmt.Sprint(b.All()) || a.Digest() != b.Digest() {
			t.Fatalf("%v\n%v", a.All(), b.All())
		}
		x, y, z := words[0], words[len(words)/2], words[len(words)-1]
		if x.Compare(y) > 0 && y.Compare(z) > 0 && x.Compare(z) <= 0 || x.Compare(y) != -y.Compare(x) {
			t.Fatal("words have no order")
		}
	})
}

func TestNotesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := note{beat: rapid.Uint64().Draw(t, "beat"), list: rapid.Uint64().Draw(t, "list"), total: rapid.IntRange(0, 64).Draw(t, "total"), weight: rapid.IntRange(0, 100).Draw(t, "weight"),
			digest: rapid.Uint64().Draw(t, "digest"), answers: rapid.Bool().Draw(t, "answers"), words: rapid.SliceOfN(rapid.Custom(word), 0, 3).Draw(t, "words")}
		if rapid.Bool().Draw(t, "detail") {
			n.detail = &Digest{1, math.MaxUint32}
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "acts") {
			n.acts = append(n.acts, Acts{i, uint32(i) << 30})
		}
		for i := range rapid.IntRange(0, 64).Draw(t, "heard") {
			n.heard = append(n.heard, heard{i, uint64(i) << 20})
		}
		data, words, _ := n.encode()
		got, err := decode(data)
		if err != nil || len(data) > gossip.Most {
			t.Fatal(err, len(data))
		}
		n.words, n.heard, n.acts = n.words[:words], n.heard[:len(got.heard)], n.acts[:len(got.acts)]
		if fmt.Sprint(got.words, got.heard, got.beat, got.list, got.total, got.weight, got.acts, got.digest, got.answers) != fmt.Sprint(n.words, n.heard, n.beat, n.list, n.total, n.weight, n.acts, n.digest, n.answers) {
			t.Fatalf("%+v\n%+v", n, got)
		}
	})
	longest := Word{Subject: strings.Repeat("s", MostSubject), Count: mostCount, Origin: strings.Repeat("o", MostBy), By: strings.Repeat("b", MostBy), AtMs: math.MaxInt64}
	if _, words, _ := (note{beat: math.MaxUint64, list: 1, total: 6400, weight: 100, digest: 1, answers: true, words: []Word{longest}}).encode(); words != 1 {
		t.Error("the longest word does not fit into a note")
	}
	if w, err := NewBook().Next("partner:p", true, "x", strings.Repeat("ñ", 60), 0); err != nil || len(w.By) > MostBy || !strings.HasPrefix(w.By, "ññ") {
		t.Errorf("a long name: %q, %v", w.By, err)
	}
}

// Sixteen bits of a sum pass one changed note in 65,536, and no more.
func TestChangedNotesAreNotRead(t *testing.T) {
	draw, passed := rand.New(rand.NewPCG(1, 1)), 0
	for range 20_000 {
		data, _, _ := note{beat: draw.Uint64(), digest: draw.Uint64(), words: []Word{{Subject: "partner:p", Count: 1, Origin: "x"}}}.encode()
		data[draw.IntN(len(data))] ^= byte(1 + draw.IntN(255))
		if _, err := decode(data); err == nil {
			passed++
		}
	}
	if passed > 3 {
		t.Errorf("%d of 20,000 notes with a changed byte were read", passed)
	}
}

func FuzzDecode(f *testing.F) {
	data, _, _ := note{beat: 3, words: []Word{{Subject: "partner:p", Count: 1, Origin: "x"}}, heard: []heard{{1, 2}}, detail: new(Digest)}.encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if n, err := decode(data); err == nil {
			for _, w := range n.words {
				if w.Check() != nil {
					t.Error("a word that no book takes")
				}
			}
		}
	})
}

// fleet are the parts of all relays, in virtual time.
type fleet struct {
	talks   []*Talk
	dead    []bool
	now     time.Duration
	draw    *rand.Rand
	works   func(from, to int) bool
	lose    float64
	delay   func() time.Duration
	wire    []sent
	notes   int
	bytes   int
	taken   map[string]time.Duration // by relay and subject: when its word was taken in last
	durable func(relay int) bool
	lives   uint32
}

type sent struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newFleet(t testing.TB, n int, seed uint64) *fleet {
	f := &fleet{dead: make([]bool, n), draw: rand.New(rand.NewPCG(seed, 3)), works: func(int, int) bool { return true },
		delay: func() time.Duration { return time.Millisecond }, taken: map[string]time.Duration{}, durable: func(int) bool { return true }}
	for i := range n {
		f.talks = append(f.talks, nil)
		f.start(t, i, nil)
	}
	return f
}

func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("r%02d", i))
	}
	return all
}

func (f *fleet) start(t testing.TB, i int, kept []Word) {
	f.lives++
	talk, err := New(Settings{Names: names(len(f.dead)), Self: i, Life: f.lives}, f.now, kept)
	if err != nil {
		t.Fatal(err)
	}
	f.talks[i], f.dead[i] = talk, false
}

func (f *fleet) take(i int, words []Word) {
	if !f.durable(i) {
		return
	}
	f.talks[i].Take(f.now, words...)
	for _, w := range words {
		f.taken[fmt.Sprint(i, w.Subject)] = f.now
	}
}

// say has a relay take in what its operator says.
func (f *fleet) say(t testing.TB, i int, subject string, on bool) Word {
	w, err := f.talks[i].Book().Next(subject, on, names(len(f.dead))[i], "op", 0)
	if err != nil {
		t.Fatal(err)
	}
	f.take(i, []Word{w})
	return w
}

func (f *fleet) play(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += time.Millisecond {
		var left []sent
		wire := f.wire
		f.wire = nil
		for _, s := range wire {
			if s.at > f.now {
				left = append(left, s)
			} else if !f.dead[s.to] {
				f.take(s.to, f.talks[s.to].Hear(f.now, s.from, s.data))
			}
		}
		for i, talk := range f.talks {
			if f.dead[i] {
				continue
			}
			notes, _ := talk.Due(f.now)
			for _, n := range notes {
				f.notes++
				f.bytes += len(n.Data)
				if f.works(i, n.To) && f.draw.Float64() >= f.lose {
					f.wire = append(f.wire, sent{f.now + f.delay(), i, n.To, n.Data})
				}
			}
		}
		f.wire = append(f.wire, left...)
	}
}

// all tells whether a subject holds at some relays, as it should.
func (f *fleet) all(subject string, on bool, relays ...int) bool {
	return !slices.ContainsFunc(relays, func(i int) bool { _, holds := f.talks[i].Book().Holds(subject); return holds != on })
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// The stated bounds: a word is everywhere within a second without loss, within three with three notes in ten lost; over a
// chain within a second for each link; and who has heeded it is known where it was said.
func TestWordsSpreadInTime(t *testing.T) {
	for name, c := range map[string]struct {
		lose   float64
		within time.Duration
		works  func(from, to int) bool
	}{
		"whole":   {0, time.Second, nil},
		"lossy":   {0.3, 3 * time.Second, nil},
		"chain":   {0, 2 * time.Second, func(a, b int) bool { return a-b == 1 || b-a == 1 }},
		"one way": {0, 2 * time.Second, func(a, b int) bool { return a < 12 || b >= 12 }},
	} {
		for seed := range uint64(5) {
			f := newFleet(t, 24, seed)
			if f.lose = c.lose; c.works != nil {
				f.works = c.works
			}
			f.play(2 * time.Second)
			began := f.now
			f.say(t, 0, "partner:p", true)
			for f.now-began < c.within && !f.all("partner:p", true, upTo(24)...) {
				f.play(5 * time.Millisecond)
			}
			if !f.all("partner:p", true, upTo(24)...) {
				t.Errorf("%s, seed %d: not everywhere after %v", name, seed, c.within)
			}
			took := f.now - began
			f.play(2 * time.Second)
			if name == "whole" || name == "lossy" {
				for _, v := range f.talks[0].Views(f.now) {
					if !v.Self && (!v.Agrees || v.Agreed > f.now-began) {
						t.Errorf("%s, seed %d: %s holds it, which is not known: %+v", name, seed, v.Name, v)
					}
				}
			}
			t.Logf("%s, seed %d: everywhere after %v", name, seed, took)
		}
	}
}

// A fleet that agrees says little: a beat to each other relay, five times a second.
func TestQuietFleetSaysLittle(t *testing.T) {
	for _, n := range []int{3, 24, 64} {
		f := newFleet(t, n, 1)
		f.play(2 * time.Second)
		f.say(t, 0, "partner:p", true)
		f.play(2 * time.Second)
		f.notes, f.bytes = 0, 0
		f.play(2 * time.Second)
		each := float64(f.notes) / 2 / float64(n)
		if most := 1.1 * 5 * float64(n-1); each > most {
			t.Errorf("%d relays: %.0f notes a second each, want %.0f at most", n, each, most)
		}
		t.Logf("%d relays: %.0f notes and %.0f bytes a second each", n, each, float64(f.bytes)/2/float64(n))
	}
}

// Who is cut off is known in time; who can be reached by a chain is not taken for it.
func TestCutOffIsKnown(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.works = func(a, b int) bool { return a-b == 1 || b-a == 1 }
	f.play(4 * time.Second)
	there := func(of int) (n int) {
		for _, v := range f.talks[of].Views(f.now) {
			if v.There {
				n++
			}
		}
		return n
	}
	if n := there(0); n < 3 { // beats of the far end take 200 ms a link, which LostAfter does not cover
		t.Errorf("in a chain of eight the first takes %d to be there", n)
	}
	f.works = func(a, b int) bool { return a != 3 && b != 3 }
	f.play(LostAfter + 2*BeatEvery)
	if n := there(3); n != 1 {
		t.Errorf("one that is cut off takes %d to be there, itself among them", n)
	}
	if n := there(0); n != 7 {
		t.Errorf("the others take %d to be there", n)
	}
}

// What is not durable is not told as heeded, and is asked for until it is.
func TestHeededIsDurable(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.play(time.Second)
	f.durable = func(relay int) bool { return relay != 2 }
	said := f.now
	f.say(t, 0, "endpoint:a", true)
	f.play(2 * time.Second)
	if v := f.talks[0].Views(f.now)[2]; v.Agrees || v.Agreed < f.now-said {
		t.Errorf("a relay that could not record it: %+v", v)
	}
	f.durable = func(int) bool { return true }
	f.play(time.Second)
	if v := f.talks[0].Views(f.now)[2]; !v.Agrees || !f.all("endpoint:a", true, 2) {
		t.Errorf("once it could: %+v", v)
	}
}

// Two operators on two sides of a cut: the word that holds wins where neither knew of the other's, the later one where it did.
func TestWordsOnTwoSides(t *testing.T) {
	f := newFleet(t, 6, 1)
	f.play(time.Second)
	f.say(t, 0, "partner:p", true)
	f.play(time.Second)
	f.works = func(a, b int) bool { return a%2 == b%2 }
	f.say(t, 1, "partner:p", false) // knows of the drain: it is taken back
	f.say(t, 0, "partner:q", true)
	f.say(t, 1, "partner:q", true)
	f.play(time.Second)
	f.say(t, 3, "partner:q", false) // later than its own side's, and the other's
	if f.play(time.Second); !f.all("partner:p", true, 0, 2, 4) || !f.all("partner:p", false, 1, 3, 5) {
		t.Fatal("a word crossed the cut")
	}
	f.works = func(int, int) bool { return true }
	f.play(time.Second)
	if !f.all("partner:p", false, upTo(6)...) || !f.all("partner:q", false, upTo(6)...) {
		t.Error("what was taken back by one who knew of it holds")
	}
	f.works = func(a, b int) bool { return a%2 == b%2 }
	f.say(t, 0, "partner:p", true)
	f.play(100 * time.Millisecond)
	f.say(t, 1, "partner:q", true)
	f.say(t, 0, "partner:q", true)
	f.say(t, 2, "endpoint:x", true)
	f.dead[2] = true // in the next instant
	f.play(time.Second)
	f.works = func(int, int) bool { return true }
	f.start(t, 2, []Word{{Subject: "endpoint:x", On: true, Count: 1, Origin: "r02", By: "op"}}) // what it had recorded
	if f.play(time.Second); !f.all("endpoint:x", true, upTo(6)...) || !f.all("partner:q", true, upTo(6)...) {
		t.Error("the word of a relay that died as it was said is lost")
	}
	f.dead[4] = true
	f.play(time.Second)
	f.start(t, 4, nil) // with an empty folder, and its beats begin anew
	if f.play(time.Second); !f.all("endpoint:x", true, upTo(6)...) {
		t.Error("one that began anew with nothing has not taken over what the others hold")
	}
	if v := f.talks[0].Views(f.now)[4]; !v.There || !v.Agrees {
		t.Errorf("it is not taken to be there: %+v", v)
	}
}

// After any history of words, cuts, loss, late and doubled notes, deaths and new beginnings all relays hold the same, and
// nothing that was said last and alone is lost.
func TestFleetAgrees(t *testing.T) {
	for seed := range uint64(*histories) {
		draw := rand.New(rand.NewPCG(seed, 8))
		n := 2 + draw.IntN(6)
		f := newFleet(t, n, seed)
		kept := make([]map[string]Word, n) // as their journals have it
		for range 12 {
			side := make([]int, n)
			for i := range side {
				side[i] = draw.IntN(2)
			}
			oneWay := draw.IntN(4) == 0
			f.works = func(a, b int) bool { return side[a] == side[b] || oneWay && a < b }
			f.lose = 0.5 * draw.Float64()
			late := draw.IntN(3) == 0
			f.delay = func() time.Duration {
				if late && draw.IntN(4) == 0 {
					return 2 * time.Second
				}
				return time.Duration(1+draw.IntN(30)) * time.Millisecond
			}
			for range draw.IntN(4) {
				i, subject := draw.IntN(n), fmt.Sprintf("endpoint:%d", draw.IntN(30))
				if !f.dead[i] {
					_, holds := f.talks[i].Book().Holds(subject)
					f.say(t, i, subject, !holds)
				}
			}
			f.play(time.Duration(draw.IntN(400)) * time.Millisecond)
			if i := draw.IntN(n); f.dead[i] {
				var words []Word
				for _, w := range kept[i] {
					words = append(words, w)
				}
				f.start(t, i, words)
			} else if draw.IntN(3) == 0 {
				f.dead[i], kept[i] = true, map[string]Word{}
				for _, w := range f.talks[i].Book().All() {
					kept[i][w.Subject] = w
				}
			}
		}
		want := NewBook()
		for i := range n {
			if f.dead[i] {
				var words []Word
				for _, w := range kept[i] {
					words = append(words, w)
				}
				f.start(t, i, words)
			}
			for _, w := range f.talks[i].Book().All() {
				want.Merge(w)
			}
		}
		f.works, f.lose, f.delay = func(int, int) bool { return true }, 0, func() time.Duration { return time.Millisecond }
		f.play(4 * time.Second) // the wire may hold notes that are 2 s late
		for i := range n {
			if got := f.talks[i].Book(); got.Digest() != want.Digest() || fmt.Sprint(got.All()) != fmt.Sprint(want.All()) {
				t.Fatalf("history %d: relay %d of %d holds\n%v\nwant\n%v", seed, i, n, got.All(), want.All())
			}
		}
	}
}

// What one relay sees is known to all, with its age; what is well again says so; what nobody renews lapses; and a relay that
// began anew takes back what it said before.
func TestSights(t *testing.T) {
	f := newFleet(t, 6, 1)
	f.lose = 0.2
	f.delay = func() time.Duration { return time.Duration(1+f.draw.IntN(20)) * time.Millisecond }
	f.play(time.Second)
	seen := func(at int) string {
		var all []string
		for _, s := range f.talks[at].Sights(f.now) {
			all = append(all, fmt.Sprintf("%s by %d %v", s.Subject, s.Origin, s.Bad))
		}
		return strings.Join(all, ", ")
	}
	everywhere := func(what, want string) {
		t.Helper()
		for i := range f.talks {
			if got := seen(i); got != want && !f.dead[i] {
				t.Errorf("%s: relay %d knows %q, want %q", what, i, got, want)
			}
		}
	}
	f.talks[1].See(f.now, "endpoint:a", true)
	f.talks[1].See(f.now, "endpoint:b", false) // was never bad
	f.talks[4].See(f.now, "endpoint:a", true)
	f.play(time.Second)
	everywhere("two saw it out", "endpoint:a by 1 true, endpoint:a by 4 true")
	f.play(40 * time.Second)
	everywhere("it is said again", "endpoint:a by 1 true, endpoint:a by 4 true")
	if s := f.talks[0].Sights(f.now)[0]; s.Since < 40*time.Second || s.Since > 42*time.Second || s.Said > sayAgain+time.Second {
		t.Errorf("since %v, said %v ago", s.Since, s.Said)
	}
	f.talks[1].See(f.now, "endpoint:a", false)
	f.play(time.Second)
	everywhere("one sees it well", "endpoint:a by 1 false, endpoint:a by 4 true")
	f.start(t, 4, nil) // and has seen nothing
	f.play(2 * time.Second)
	everywhere("the other began anew", "endpoint:a by 1 false, endpoint:a by 4 false")
	f.talks[4].See(f.now, "endpoint:a", true)
	f.play(time.Second)
	everywhere("and sees it out again", "endpoint:a by 1 false, endpoint:a by 4 true")
	f.dead[4] = true
	f.play(SightFor + time.Second)
	everywhere("nobody renews it", "")
	for i := range 2 * MostSights {
		f.talks[2].See(f.now, fmt.Sprint("endpoint:", i), true)
	}
	f.play(5 * time.Second)
	for i, talk := range f.talks {
		if n := len(talk.Sights(f.now)); n != MostSights && !f.dead[i] {
			t.Errorf("relay %d knows %d sights, want %d", i, n, MostSights)
		}
	}
	f.notes = 0
	f.play(2 * time.Second)
	if each := float64(f.notes) / 2 / 5; each > 1.2*5*5 {
		t.Errorf("%.0f notes a second each, once all know", each)
	}
}

// Notes that come late say nothing of now; ones with made-up counts poison neither beats nor what was said.
func TestLateAndMadeUpNotes(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.play(2 * time.Second)
	old, _ := f.talks[1].Due(f.now + BeatEvery)
	f.play(2 * time.Second)
	f.dead[1] = true
	f.play(LostAfter + BeatEvery)
	for _, n := range old {
		if n.To == 0 {
			f.talks[0].Hear(f.now, 1, n.Data)
		}
	}
	if v := f.talks[0].Views(f.now)[1]; v.There {
		t.Errorf("a relay that is dead is there by a note of 3 s ago: %+v", v)
	}
	f.start(t, 1, nil)
	f.play(time.Second)
	if v := f.talks[0].Views(f.now)[1]; !v.There {
		t.Errorf("one that began anew is not there: %+v", v)
	}
	f.say(t, 0, "partner:p", true)
	f.play(time.Second)
	lie, _, _ := note{life: 3, beat: 1 << 50, list: listOf(names(3)), total: 3, weight: 1, heard: []heard{{0, math.MaxUint64}, {1, 1 << 60}},
		words: []Word{{Subject: "partner:p", Count: 1 << 40, Origin: "r02"}}}.encode()
	for _, talk := range f.talks[:2] {
		if news := talk.Hear(f.now, 2, lie); len(news) > 0 {
			t.Errorf("taken in: %v", news)
		}
	}
	f.play(2 * time.Second)
	for i := range 3 {
		for _, v := range f.talks[i].Views(f.now) {
			if !v.There {
				t.Errorf("after made-up beats relay %d takes %s for lost", i, v.Name)
			}
		}
	}
	if f.say(t, 1, "partner:p", false); f.talks[1].Book().words["partner:p"].Count != 2 {
		t.Errorf("what was said has count %d after a made-up one", f.talks[1].Book().words["partner:p"].Count)
	}
	if f.play(time.Second); !f.all("partner:p", false, 0, 1, 2) {
		t.Error("an operator is not heard after a made-up count")
	}
}

// While a fleet's list or weights change by restarts, all divide by the largest sum that is heard, so that what all take for
// their parts is one limit at most; and a wrong sum is believed up to a bound.
func TestPartsAreThoseOfTheLargestList(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.play(time.Second)
	parts := func(what string, want int) {
		t.Helper()
		f.play(500 * time.Millisecond)
		for i, talk := range f.talks {
			if got := talk.Parts(f.now); got != want {
				t.Errorf("%s: relay %d divides by %d, want %d", what, i, got, want)
			}
		}
	}
	parts("even", 3)
	f.talks[2].set.Weights = []int{1, 1, 3}
	parts("one has three in its own list", 5)
	f.talks[1].set.Weights = []int{1, 4, 1}
	parts("and another has four in its own: 1 + 4 + 3", 8)
	f.talks[1].set.Weights, f.talks[2].set.Weights = nil, nil
	parts("all have the first list again", 3)
	f.talks[2].set.Weights = []int{1, 1, 1 << 19}
	f.play(500 * time.Millisecond)
	if n := f.talks[0].Parts(f.now); n != MostSize {
		t.Errorf("%d parts by a wrong list, want %d", n, MostSize)
	}
	f.talks[2].set.Weights = nil
	for i, talk := range f.talks {
		talk.Lose([]int{1})
		if i == 1 {
			f.dead[i] = true
		}
	}
	f.play(500 * time.Millisecond)
	if n := f.talks[0].Parts(f.now); n != 2 {
		t.Errorf("%d parts without one that is gone, want 2", n)
	}
	if _, err := New(Settings{Names: names(2), Weights: []int{1}}, 0, nil); err == nil {
		t.Error("a weight for one of two")
	}
}
