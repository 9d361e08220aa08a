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
var errSourceBehind = errors.New("the source is behind what another one gave: another is asked")

// replica is what a follower has of the control state. It is pure: requests and answers in, tables out. Its index never
// goes back, whatever sources say.
type replica struct {
	tables         *Tables
	receivedIndex  int64            // up to it all entries were told of
	confirmedIndex int64            // the highest index that a fresh source gave
	valueIndexes   map[string]int64 // of the values in the tables, by key
	baseValue      []byte           // the configuration's value, for deltas
	baseDigest     bodydelta.Digest // of held
	requestFull    bool             // the next answer is to have no deltas: one did not fit
	download       *download        // nil for none
}

func newReplica() *replica { return &replica{tables: &Tables{}, valueIndexes: map[string]int64{}} }

// request is the next poll, but for the follower's name.
func (r *replica) nextRequest() ChangesRequest {
	request := ChangesRequest{AppliedIndex: r.tables.Index, ReceivedIndex: r.receivedIndex}
	if r.tables.Config != nil {
		request.ActiveVersion = r.tables.Config.Version
	}
	if r.tables.Hosts != nil {
		request.HostListTerm, request.HostListNumber = r.tables.Hosts.Term, r.tables.Hosts.Number
	}
	if r.baseValue != nil && !r.requestFull {
		digest := r.baseDigest // of its own: a value may be taken in while the request is written
		request.BaseValues = []BaseValue{{Key: ConfigKey, Digest: digest[:]}}
	}
	return request
}

// take makes tables of a fresh answer to a request that was sent at a time. What could not be used is in faults; err is
// errBehind where the source cannot be fresh.
func (r *replica) handleResponse(sent time.Time, request *ChangesRequest, response *ChangesResponse) (faults []error, err error) {
	if response.Index < r.confirmedIndex {
		return nil, errSourceBehind
	}
	next := *r.tables
	if request.ReceivedIndex <= r.receivedIndex { // else entries between the two are missing: a fetch ended meanwhile
		faults = r.applyEntries(&next, response)
	}
	r.applyHosts(&next, response)
	if next.Index == response.Index && sent.After(next.ConfirmedAt) {
		next.ConfirmedAt = sent
	}
	r.tables = &next
	return faults, nil
}

// takeEntries goes on to the answer's index, as far as nothing has to be fetched.
func (r *replica) applyEntries(next *Tables, response *ChangesResponse) (faults []error) {
	for _, e := range response.Entries {
		if err := r.applyEntry(next, e); err != nil {
			faults = append(faults, err)
		}
	}
	for _, p := range response.Patches {
		if err := r.applyPatch(next, p); err != nil {
			r.requestFull = true // told stays: the next poll asks for it again
			return append(faults, err)
		}
	}
	for _, ref := range response.LargeValues {
		r.startDownload(ref)
	}
	r.confirmedIndex, r.receivedIndex, r.requestFull = response.Index, response.Index, false
	if r.download == nil {
		next.Index = response.Index
	}
	return faults
}

func (r *replica) applyHosts(next *Tables, response *ChangesResponse) {
	current := r.tables.Hosts
	if len(response.Hosts) == 1 && response.Hosts[0].Newer(current) {
		next.Hosts = &response.Hosts[0]
	}
	if len(response.Delta) == 1 {
		if list, ok := current.Apply(response.Delta[0]); ok && list.Newer(current) {
			next.Hosts = list
		}
	}
}

// patch applies an entry that came as a delta. The digests are checked before anything is swapped.
func (r *replica) applyPatch(next *Tables, p Patch) error {
	if p.Index <= r.valueIndexes[p.Key] {
		return nil
	}
	if p.Key != ConfigKey {
		return errors.Newf("a difference of %s, of which none was held: it is asked for whole", p.Key)
	}
	value, err := bodydelta.ApplyNamed(r.baseValue, r.baseDigest, p.Delta, rpc.MaxFrame)
	if err != nil {
		return errors.Wrapf(err, "%s at index %d: it is asked for whole", p.Key, p.Index)
	}
	return r.applyEntry(next, chain.Entry{Index: p.Index, Key: p.Key, Value: value})
}

// want begins to fetch a value, or goes on with it. One that is under way is finished first, also when a newer one is
// there: the newer one then comes as a delta, and versions that follow each other fast do not start it anew for ever.
func (r *replica) startDownload(ref ValueRef) {
	if ref.Index <= r.valueIndexes[ref.Key] || ref.Key != ConfigKey && ref.Key != PlacementKey || !ref.isValid() {
		return
	}
	switch {
	case r.download == nil:
		r.download = newDownload(ref)
	case bytes.Equal(r.download.ref.Digest, ref.Digest):
		r.download.ref.Index, r.download.abandoned, r.download.failures = ref.Index, false, 0
	case r.download.abandoned:
		r.download = newDownload(ref)
	}
}

// fetched takes in the value whose pieces are complete.
func (r *replica) finishDownload() error {
	d := r.download
	value, err := d.value()
	if err != nil {
		return err
	}
	next := *r.tables
	err = r.applyEntry(&next, chain.Entry{Index: d.ref.Index, Key: d.ref.Key, Value: value})
	r.download = nil
	next.Index = max(next.Index, d.ref.Index)
	r.receivedIndex = next.Index // newer entries are told again
	r.tables = &next
	return err
}

// gone gives up a fetch that no source can go on with: the next poll tells what there is now.
func (r *replica) abandonDownload() {
	r.download.abandoned = true
	r.receivedIndex = r.tables.Index
}

// apply takes one entry into the tables. One that cannot be read is passed over, as it would be the next time.
func (r *replica) applyEntry(next *Tables, e chain.Entry) error {
	if e.Index <= r.valueIndexes[e.Key] {
		return nil
	}
	r.valueIndexes[e.Key] = e.Index
	if r.download != nil && r.download.ref.Key == e.Key && r.download.ref.Index <= e.Index {
		r.download = nil
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
	var entry ConfigEntry
	if err := rpc.Decode(value, &entry); err != nil {
		return err
	}
	r.baseValue, r.baseDigest = value, bodydelta.DigestOf(value)
	if next.Config != nil && next.Config.Version >= entry.Version {
		return nil
	}
	config, err := routing.Parse(entry.Body)
	if err != nil {
		return err
	}
	config.Raw = nil // it is in held
	next.Config = config
	return nil
}

// complete tells whether a front can serve by the tables.
func (t *Tables) complete() bool { return t.Config != nil && t.Placement != nil && t.Hosts != nil }
