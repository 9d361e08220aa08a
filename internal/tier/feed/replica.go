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

// errSourceBehind reports a response that claims to be confirmed but whose index is below one that was confirmed earlier.
var errSourceBehind = errors.New("source is behind an index that was confirmed earlier: polling another core node")

// replica is a follower's copy of the control state. It does no I/O: it builds requests and turns responses into tables.
// The index of the tables, the confirmed index and the indexes of values never decrease, whatever sources send; the
// received index returns to that of the tables when a download is abandoned. It is not safe for concurrent use; the
// tables that it built are immutable.
type replica struct {
	tables           *Tables          // never nil; replaced, never changed
	receivedIndex    int64            // every entry up to it was received, in full, as a delta or as a reference
	confirmedIndex   int64            // the highest index of a confirmed response
	valueIndexes     map[string]int64 // by key: the index of the value in the tables
	baseValue        []byte           // the current configuration's value, the base of deltas; nil if there is none
	baseDigest       bodydelta.Digest // of baseValue
	requestFull      bool             // the next request names no base value, since a delta could not be applied
	download         *download        // the large value in progress, nil if there is none
	configUnreadable bool             // the newest configuration could not be parsed: the tables have an older one
}

func newReplica() *replica { return &replica{tables: &Tables{}, valueIndexes: map[string]int64{}} }

// nextRequest returns the next poll request; the caller fills in Name, Class and WaitMs.
func (r *replica) nextRequest() ChangesRequest {
	request := ChangesRequest{AppliedIndex: r.tables.Index, ReceivedIndex: r.receivedIndex}
	if r.tables.Config != nil {
		request.ActiveVersion = r.tables.Config.Version
	}
	if r.tables.Hosts != nil {
		request.HostListTerm, request.HostListNumber = r.tables.Hosts.Term, r.tables.Hosts.Number
	}
	if r.requestFull {
		return request
	}
	if r.baseValue != nil {
		digest := r.baseDigest // a copy, since a value may be applied while the request is encoded
		request.BaseValues = append(request.BaseValues, BaseValue{Key: ConfigKey, Digest: digest[:]})
	}
	empty := bodydelta.EmptyDigest() // the source may send the value compressed
	request.BaseValues = append(request.BaseValues, BaseValue{Key: ConfigKey, Digest: empty[:]})
	return request
}

// handleResponse applies the confirmed response to a request that was sent at the given time. Faults are the errors of
// entries that could not be applied. If the source is behind, nothing is applied and err is errSourceBehind.
func (r *replica) handleResponse(sent time.Time, request *ChangesRequest, response *ChangesResponse) (faults []error, err error) {
	if response.Index < r.confirmedIndex {
		return nil, errSourceBehind
	}
	next := *r.tables
	// A larger index was requested before a download was abandoned or finished: its response would miss entries.
	if request.ReceivedIndex <= r.receivedIndex {
		faults = r.applyEntries(&next, response)
	}
	r.applyHosts(&next, response)
	if next.Index == response.Index && !r.configUnreadable && sent.After(next.ConfirmedAt) {
		next.ConfirmedAt = sent
	}
	r.tables = &next
	return faults, nil
}

// applyEntries applies the entries of a response. Tables.Index rises to the response's index unless a value is still to
// be downloaded, or a delta could not be applied; the next poll then requests its entry in full.
func (r *replica) applyEntries(next *Tables, response *ChangesResponse) (faults []error) {
	for _, e := range response.Entries {
		if err := r.applyEntry(next, e); err != nil {
			faults = append(faults, err)
		}
	}
	for _, p := range response.Patches {
		if err := r.applyPatch(next, p); err != nil {
			r.requestFull = true // receivedIndex stays, so that the next poll requests it again
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

// applyHosts applies a host list, or a delta to the current list, if the result is newer than the current list.
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

// applyPatch applies an entry that was sent as a delta to baseValue or to the empty value, after it verified both
// digests.
func (r *replica) applyPatch(next *Tables, p Patch) error {
	if p.Index <= r.valueIndexes[p.Key] {
		return nil
	}
	if p.Key != ConfigKey {
		return errors.Newf("delta of %s, which has no base value: requesting the full value", p.Key)
	}
	base, baseDigest := r.baseValue, r.baseDigest
	if bodydelta.IsCompressed(p.Delta) {
		base, baseDigest = nil, bodydelta.EmptyDigest()
	}
	value, err := bodydelta.ApplyWithDigest(base, baseDigest, p.Delta, rpc.MaxFrame)
	if err != nil {
		return errors.Wrapf(err, "%s at index %d: requesting the full value", p.Key, p.Index)
	}
	return r.applyEntry(next, chain.Entry{Index: p.Index, Key: p.Key, Value: value})
}

// startDownload starts or resumes the download of a value. A download in progress is completed even if there is a newer
// value, which is then sent as a delta: otherwise versions that change faster than a download takes would restart it
// forever.
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

// finishDownload applies the value of the complete download. On a digest mismatch the download restarts.
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
	r.receivedIndex = next.Index // newer entries are requested again
	r.tables = &next
	return err
}

// abandonDownload stops a download that no source can continue. The next poll requests the entries after Tables.Index
// again, and the download resumes if a response refers to the same value.
func (r *replica) abandonDownload() {
	r.download.abandoned = true
	r.receivedIndex = r.tables.Index
}

// applyEntry applies one entry, unless it is older than the value in the tables. An entry that can't be decoded counts as
// applied: it would fail in the same way the next time.
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
		r.configUnreadable = err != nil
	case PlacementKey:
		p := new(turnstore.Placement)
		if err = rpc.Decode(e.Value, p); err == nil {
			next.Placement = p
		}
	}
	return errors.Wrapf(err, "%s at index %d", e.Key, e.Index)
}

// applyConfig applies a configuration's value, unless its version is not above the current one.
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
	config.Raw = nil // part of baseValue
	next.Config = config
	return nil
}

// complete reports whether the tables have everything that a front needs to serve requests.
func (t *Tables) complete() bool { return t.Config != nil && t.Placement != nil && t.Hosts != nil }
