package override

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// How relays talk: each tells each other every BeatEvery that it is there, with a count that goes up and those that it has
// heard of others, so that one is known to be there whom any chain of links reaches. With it goes a digest of the book.
// Relays whose digests are the same have nothing more to say. Where they differ, each sends the other words from the parts
// that differ, every again, until they agree; a new word goes to all at once.
//
// So over a link that loses a share p of the notes and takes d, a word is taken over within d + again*(n-1) but for one time
// in 1/p^n, and over a chain of k links within k times that. A relay that no chain joins is known to be cut off LostAfter
// after its last beat that came through. A link that works one way only carries words that way: newest first, with the beats.
const (
	BeatEvery = 200 * time.Millisecond
	LostAfter = 600 * time.Millisecond // three beats
	// StatedHeed is within what a word is heeded by all that a chain of working links joins to its origin, and StatedLossy where
	// links lose three notes in ten (docs/design/008-words.md).
	StatedHeed  = time.Second
	StatedLossy = 3 * time.Second
	again       = 100 * time.Millisecond
	replyIn     = 20 * time.Millisecond // a relay is sent no more often than that, whatever it says
	// sizeFor is how long after it was heard last a relay's word counts on how many relays there are.
	sizeFor  = 5 * time.Second
	mostBeat = 1 << 56 // a higher one is made up: no relay lives so long
	blind    = 2       // words that go with a beat to one that is not heard
	never    = time.Duration(math.MaxInt64)
)

// Settings of one relay's part.
type Settings struct {
	Names []string // of all relays of the fleet, this one's among them, in the order that all have
	Self  int      // this one's place in it
	Life  uint32   // drawn at each start: notes of one life that come late are told from those of the next
	// Weights are the parts that relays have of each limit; nil where all have one.
	Weights []int
}

// Talk is one relay's part in spreading words. It is not safe for concurrent use.
type Talk struct {
	set   Settings
	list  uint64
	book  *Book
	beat  uint64
	peers []peer
	fresh []string // subjects, the last one taken in first; at most so many as can matter
	lost  []int    // gone for good
	acts  []Acts
	own   uint64 // digest of the book

	sights  sights
	counted uint64 // of this relay's sights
}

// peer is another relay as this one knows it.
type peer struct {
	metAt    time.Duration // a note came from it; below 0 before the first
	life     uint32
	said     uint64        // its beat, as it said last in that life
	beat     uint64        // the highest heard of
	beatAt   time.Duration // when it was; below 0 before
	digest   uint64        // of its book, as it said last
	detail   *Digest
	agreedAt time.Duration // last known to hold the same book; below 0 before
	list     uint64
	total    int // of the weights in its list
	weight   int // of itself, by that
	acts     []Acts
	sentAt   time.Duration
	nextBeat time.Duration
	cursor   string // the last subject sent of those that differ
	news     []string
	owed     bool // it said what differs: it is answered
	seen     uint32
	sights   bool // there is a sight that it may not have been told of
}

// Note is to be sent to a relay.
type Note struct {
	To   int
	Data []byte
}

// New returns a relay's part, with the words that it recorded before.
func New(s Settings, now time.Duration, kept []Word) (*Talk, error) {
	if s.Weights != nil && len(s.Weights) != len(s.Names) {
		return nil, fmt.Errorf("verdict: %d weights of %d relays", len(s.Weights), len(s.Names))
	}
	if s.Self < 0 || s.Self >= len(s.Names) {
		return nil, fmt.Errorf("verdict: this relay has number %d of %d; numbers begin at 0", s.Self, len(s.Names))
	}
	t := &Talk{set: s, list: listOf(s.Names), book: NewBook(), beat: 1, sights: newSights()}
	for i := range s.Names {
		// Beats are spread, so that the notes of a fleet that starts together do not come together.
		t.peers = append(t.peers, peer{metAt: -1, beatAt: -1, agreedAt: -1, sentAt: now - BeatEvery,
			nextBeat: now + BeatEvery*time.Duration((i+s.Self)%len(s.Names))/time.Duration(len(s.Names))})
	}
	for _, w := range kept {
		t.book.Merge(w)
	}
	t.own = t.book.digest.whole()
	return t, nil
}

// Book is what this relay holds. It changes by Take alone.
func (t *Talk) Book() *Book { return t.book }

// Hear takes in a note. The words returned are news: they count once they are handed to Take.
func (t *Talk) Hear(now time.Duration, from int, data []byte) (news []Word) {
	if from < 0 || from >= len(t.peers) || from == t.set.Self {
		return nil
	}
	n, err := decode(data)
	if err != nil {
		return nil
	}
	for _, w := range n.words { // they may be old; that is told by their counts
		if t.book.News(w) {
			news = append(news, w)
		}
	}
	p := &t.peers[from]
	if n.beat > mostBeat || n.life == p.life && n.beat < p.said {
		return news // what else it says was so before what was heard since
	}
	p.life, p.said = n.life, n.beat
	p.metAt, p.digest, p.detail, p.list, p.total, p.weight = now, n.digest, n.detail, n.list, n.total, n.weight
	p.seen = n.seen
	if len(n.acts) > 0 {
		p.acts = n.acts
	}
	p.beat, p.beatAt = n.beat, now // its own word on itself, also where it began anew
	if n.list == t.list {
		for _, h := range n.heard {
			t.heardOf(now, h)
		}
		for _, s := range n.sights { // their origins are told by number
			t.hearSight(now, s)
		}
	}
	if p.digest == t.own {
		p.agreedAt, p.news = now, nil
	} else {
		p.owed = p.owed || n.answers
	}
	return news
}

// heardOf takes in what another relay heard of one.
func (t *Talk) heardOf(now time.Duration, h heard) {
	switch {
	case h.relay >= len(t.peers) || h.beat > mostBeat:
	case h.relay == t.set.Self:
		t.beat = max(t.beat, h.beat) // from before this one began anew: what it says must be newer
	case h.beat > t.peers[h.relay].beat:
		p := &t.peers[h.relay]
		p.beat, p.beatAt = h.beat, now
	}
}

// Take takes words in that are durable and carried out here.
func (t *Talk) Take(now time.Duration, words ...Word) {
	for _, w := range words {
		if !t.book.Merge(w) {
			continue
		}
		t.fresh = slices.DeleteFunc(t.fresh, func(s string) bool { return s == w.Subject })
		t.fresh = slices.Insert(t.fresh, 0, w.Subject)
		t.fresh = t.fresh[:min(len(t.fresh), blind)]
		for i := range t.peers {
			if p := &t.peers[i]; !slices.Contains(p.news, w.Subject) {
				p.news = append(p.news, w.Subject)
			}
		}
	}
	if t.own = t.book.digest.whole(); len(words) > 0 {
		for i := range t.peers {
			if p := &t.peers[i]; p.digest == t.own && p.metAt >= 0 {
				p.agreedAt, p.news = now, nil
			}
		}
	}
}

// Act says what this relay acts on, eight things at most; others are told with the next beat.
func (t *Talk) Act(on []Acts) { t.acts = on[:min(len(on), 8)] }

// Acts is what a relay said of itself last that it acts on.
func (t *Talk) Acts(relay int) []Acts {
	if relay == t.set.Self {
		return t.acts
	}
	return t.peers[relay].acts
}

// Lose says which relays are gone for good.
func (t *Talk) Lose(lost []int) { t.lost = lost }

func (t *Talk) weight(i int) int {
	switch {
	case slices.Contains(t.lost, i):
		return 0
	case t.set.Weights == nil:
		return 1
	}
	return t.set.Weights[i]
}

// listed is the sum of the weights in this relay's list, without those that are gone.
func (t *Talk) listed() (n int) {
	for i := range t.peers {
		n += t.weight(i)
	}
	return n
}

// met tells whether a relay itself was heard of late.
func (p *peer) met(now time.Duration) bool { return p.metAt >= 0 && now-p.metAt < LostAfter }

// due is when a relay is to be sent a note.
func (t *Talk) due(now time.Duration, p *peer) time.Duration {
	at := p.nextBeat
	if p.met(now) && p.digest != t.own || len(p.news) > 0 && p.metAt >= 0 {
		wait := again
		if p.owed {
			wait = replyIn
		}
		if len(p.news) > 0 && p.cursor != p.news[0] { // not sent yet
			wait = 0
		}
		at = min(at, p.sentAt+wait)
	}
	if p.met(now) && p.list == t.list && p.seen != t.sights.digest {
		wait := again
		if p.sights {
			wait = replyIn
		}
		at = min(at, p.sentAt+wait)
	}
	return at
}

// Due returns the notes that are to go now, and when to ask again.
func (t *Talk) Due(now time.Duration) (notes []Note, at time.Duration) {
	at = never
	beaten := false
	t.keepSights(now)
	for i := range t.peers {
		if i == t.set.Self {
			continue
		}
		p := &t.peers[i]
		if t.due(now, p) <= now {
			if p.nextBeat <= now {
				if p.nextBeat = max(p.nextBeat+BeatEvery, now+BeatEvery/2); !beaten {
					t.beat, beaten = t.beat+1, true
				}
			}
			notes = append(notes, Note{i, t.note(now, i)})
		}
		at = min(at, max(t.due(now, p), now+time.Millisecond))
	}
	return notes, at
}

// note is what a relay is told now.
func (t *Talk) note(now time.Duration, to int) []byte {
	p := &t.peers[to]
	n := note{life: t.set.Life, beat: t.beat, list: t.list, total: t.listed(), weight: t.weight(t.set.Self), acts: t.acts, digest: t.own, seen: t.sights.digest, heard: t.beats(now)}
	if !p.met(now) || p.seen != t.sights.digest {
		n.sights = t.differingSights(now, to)
	}
	switch {
	case !p.met(now): // it may hear this one all the same
		for _, s := range t.fresh {
			n.words = append(n.words, t.book.words[s])
		}
	case p.digest != t.own:
		n.answers, n.detail = !p.owed || len(p.news) > 0, &t.book.digest
		n.words = t.differing(p)
	}
	data, words, sights := n.encode()
	if sights > 0 {
		t.sights.cursor[to] = sighted{n.sights[sights-1].Origin, n.sights[sights-1].Subject}
	}
	p.sights = p.sights && len(n.sights) > 0 && sights < len(n.sights)
	if words > 0 && p.met(now) {
		p.cursor = n.words[words-1].Subject
	}
	p.sentAt, p.owed = now, false
	p.news = slices.DeleteFunc(p.news, func(s string) bool { // they go again by the digest
		return slices.ContainsFunc(n.words[:words], func(w Word) bool { return w.Subject == s })
	})
	return data
}

// differing are words that a relay may lack: those taken in since it agreed first, then those of the parts that differ, from
// where the last note to it ended.
func (t *Talk) differing(p *peer) (words []Word) {
	for _, s := range p.news {
		words = append(words, t.book.words[s])
	}
	var rest []Word
	for _, w := range t.book.All() {
		if p.detail != nil && p.detail[bucketOf(w.Subject)] == t.book.digest[bucketOf(w.Subject)] || slices.Contains(p.news, w.Subject) {
			continue
		}
		rest = append(rest, w)
	}
	first, _ := slices.BinarySearchFunc(rest, p.cursor, func(w Word, s string) int { return cmp.Compare(w.Subject, s) })
	if first < len(rest) && rest[first].Subject == p.cursor {
		first++
	}
	return append(append(words, rest[first:]...), rest[:first]...)
}

// beats are those heard of late, the latest first.
func (t *Talk) beats(now time.Duration) (all []heard) {
	for i := range t.peers {
		if p := &t.peers[i]; i != t.set.Self && p.beatAt >= 0 && now-p.beatAt < LostAfter {
			all = append(all, heard{i, p.beat})
		}
	}
	slices.SortStableFunc(all, func(a, b heard) int { return cmp.Compare(t.peers[b.relay].beatAt, t.peers[a.relay].beatAt) })
	return all
}

// Parts is into how many parts limits are divided: the largest sum of weights that a relay says of its list, of those that were
// heard of late, or that those have together by what each says of itself. While lists differ, as they do while relays are
// restarted with a new one, who goes by that takes no more than is its own.
func (t *Talk) Parts(now time.Duration) int {
	listed := t.listed()
	most, sum, believed := listed, 0, max(MostSize, 4*listed)
	for i := range t.peers {
		p, w := &t.peers[i], t.weight(i)
		if i != t.set.Self && p.metAt >= 0 && now-p.metAt < sizeFor && !slices.Contains(t.lost, i) {
			most, w = max(most, min(p.total, believed)), max(0, min(p.weight, MostWeight))
		}
		sum += w
	}
	return max(1, most, min(sum, believed))
}

// The bounds of what is believed of another relay's list, which bound the harm that a wrong one can do.
const (
	MostSize   = 64 // relays, or parts if a list has less than a quarter of them
	MostWeight = 100
)

// View is another relay as this one knows it, for people.
type View struct {
	Name   string
	Self   bool
	Met    time.Duration // since a note of its own came; below 0 for never
	Heard  time.Duration // since a beat of it came, by whatever way; below 0 for never
	There  bool          // some chain of links joins it to this relay
	Agrees bool          // it held the same words when it was heard last
	Agreed time.Duration // since it did last, as far as is known here; below 0 for never
	Other  bool          // its list of relays, or its own weight in it, is another
}

// Views are all relays, in the order of the list.
func (t *Talk) Views(now time.Duration) (all []View) {
	ago := func(at time.Duration) time.Duration {
		if at < 0 {
			return -1
		}
		return now - at
	}
	for i, name := range t.set.Names {
		p := &t.peers[i]
		if i == t.set.Self {
			all = append(all, View{Name: name, Self: true, There: true, Agrees: true})
			continue
		}
		all = append(all, View{Name: name, Met: ago(p.metAt), Heard: ago(p.beatAt), There: p.beatAt >= 0 && now-p.beatAt < LostAfter,
			Agrees: p.metAt >= 0 && p.digest == t.own, Agreed: ago(p.agreedAt), Other: p.metAt >= 0 && (p.list != t.list || p.weight != t.weight(i) && !slices.Contains(t.lost, i))})
	}
	return all
}
