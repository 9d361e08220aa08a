package feed

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"
)

// errBehind says that a source called itself fresh and was not.
var errBehind = errors.New("the source is behind what another one gave: another is asked")

// replica is what a follower has of the control state. It is pure: requests and answers in, tables out. Its index never
// goes back, whatever sources say.
type replica struct {
	tables  *Tables
	told    int64            // up to it all entries were told of
	seen    int64            // the highest index that a fresh source gave
	indexes map[string]int64 // of the values in the tables, by key
	held    []byte           // the configuration's value, for deltas
	digest  bodydelta.Digest // of held
	whole   bool             // the next answer is to have no deltas: one did not fit
	fetch   *download        // nil for none
}

func newReplica() *replica { return &replica{tables: &Tables{}, indexes: map[string]int64{}} }

// request is the next poll, but for the follower's name.
func (r *replica) request() ChangesRequest {
	q := ChangesRequest{AppliedIndex: r.tables.Index, ReceivedIndex: r.told}
	if r.tables.Config != nil {
		q.ActiveVersion = r.tables.Config.Version
	}
	if r.tables.Hosts != nil {
		q.HostListTerm, q.HostListNumber = r.tables.Hosts.Term, r.tables.Hosts.Number
	}
	if r.held != nil && !r.whole {
		digest := r.digest // of its own: a value may be taken in while the request is written
		q.BaseValues = []BaseValue{{Key: ConfigKey, Digest: digest[:]}}
	}
	return q
}

// take makes tables of a fresh answer to a request that was sent at a time. What could not be used is in faults; err is
// errBehind where the source cannot be fresh.
func (r *replica) take(sent time.Time, q *ChangesRequest, a *ChangesResponse) (faults []error, err error) {
	if a.Index < r.seen {
		return nil, errBehind
	}
	next := *r.tables
	if q.ReceivedIndex <= r.told { // else entries between the two are missing: a fetch ended meanwhile
		faults = r.takeEntries(&next, a)
	}
	r.takeHosts(&next, a)
	if next.Index == a.Index && sent.After(next.ConfirmedAt) {
		next.ConfirmedAt = sent
	}
	r.tables = &next
	return faults, nil
}

// takeEntries goes on to the answer's index, as far as nothing has to be fetched.
func (r *replica) takeEntries(next *Tables, a *ChangesResponse) (faults []error) {
	for _, e := range a.Entries {
		if err := r.apply(next, e); err != nil {
			faults = append(faults, err)
		}
	}
	for _, p := range a.Patches {
		if err := r.patch(next, p); err != nil {
			r.whole = true // told stays: the next poll asks for it again
			return append(faults, err)
		}
	}
	for _, name := range a.LargeValues {
		r.want(name)
	}
	r.seen, r.told, r.whole = a.Index, a.Index, false
	if r.fetch == nil {
		next.Index = a.Index
	}
	return faults
}

func (r *replica) takeHosts(next *Tables, a *ChangesResponse) {
	old := r.tables.Hosts
	if len(a.Hosts) == 1 && a.Hosts[0].Newer(old) {
		next.Hosts = &a.Hosts[0]
	}
	if len(a.Delta) == 1 {
		if l, ok := old.Apply(a.Delta[0]); ok && l.Newer(old) {
			next.Hosts = l
		}
	}
}

// patch applies an entry that came as a delta. The digests are checked before anything is swapped.
func (r *replica) patch(next *Tables, p Patch) error {
	if p.Index <= r.indexes[p.Key] {
		return nil
	}
	if p.Key != ConfigKey {
		return errors.Newf("a difference of %s, of which none was held: it is asked for whole", p.Key)
	}
	value, err := bodydelta.ApplyNamed(r.held, r.digest, p.Delta, rpc.MaxFrame)
	if err != nil {
		return errors.Wrapf(err, "%s at index %d: it is asked for whole", p.Key, p.Index)
	}
	return r.apply(next, chain.Entry{Index: p.Index, Key: p.Key, Value: value})
}

// want begins to fetch a value, or goes on with it. One that is under way is finished first, also when a newer one is
// there: the newer one then comes as a delta, and versions that follow each other fast do not start it anew for ever.
func (r *replica) want(name ValueRef) {
	if name.Index <= r.indexes[name.Key] || name.Key != ConfigKey && name.Key != PlacementKey || !name.fetchable() {
		return
	}
	switch {
	case r.fetch == nil:
		r.fetch = newDownload(name)
	case bytes.Equal(r.fetch.name.Digest, name.Digest):
		r.fetch.name.Index, r.fetch.stopped, r.fetch.refused = name.Index, false, 0
	case r.fetch.stopped:
		r.fetch = newDownload(name)
	}
}

// fetched takes in the value whose pieces are complete.
func (r *replica) fetched() error {
	d := r.fetch
	value, err := d.value()
	if err != nil {
		return err
	}
	next := *r.tables
	err = r.apply(&next, chain.Entry{Index: d.name.Index, Key: d.name.Key, Value: value})
	r.fetch = nil
	next.Index = max(next.Index, d.name.Index)
	r.told = next.Index // newer entries are told again
	r.tables = &next
	return err
}

// gone gives up a fetch that no source can go on with: the next poll tells what there is now.
func (r *replica) gone() {
	r.fetch.stopped = true
	r.told = r.tables.Index
}

// apply takes one entry into the tables. One that cannot be read is passed over, as it would be the next time.
func (r *replica) apply(next *Tables, e chain.Entry) error {
	if e.Index <= r.indexes[e.Key] {
		return nil
	}
	r.indexes[e.Key] = e.Index
	if r.fetch != nil && r.fetch.name.Key == e.Key && r.fetch.name.Index <= e.Index {
		r.fetch = nil
	}
	var err error
	switch e.Key {
	case ConfigKey:
		err = r.applyConfig(next, e.Value)
	case PlacementKey:
		p := new(turnstore.Placement)
		if err = rpc.Decode(e.Value, p); err == nil {
			next.Placement = p
		}
	}
	return errors.Wrapf(err, "%s at index %d", e.Key, e.Index)
}

func (r *replica) applyConfig(next *Tables, value []byte) error {
	var e ConfigEntry
	if err := rpc.Decode(value, &e); err != nil {
		return err
	}
	r.held, r.digest = value, bodydelta.DigestOf(value)
	if next.Config != nil && next.Config.Version >= e.Version {
		return nil
	}
	c, err := routing.Parse(e.Body)
	if err != nil {
		return err
	}
	c.Raw = nil // it is in held
	next.Config = c
	return nil
}

// complete tells whether a front can serve by the tables.
func (t *Tables) complete() bool { return t.Config != nil && t.Placement != nil && t.Hosts != nil }
