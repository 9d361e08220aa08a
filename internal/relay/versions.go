package relay

import (
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/override"
	"larchrouter/internal/relay/versionaudit"
)

// What this relay acts on, told to the fleet, and what the others act on (internal/relay/versionaudit). Everything here belongs to the loop.

// behindFor is how long a relay may be behind the newest version before the log says so, once.
const behindFor = time.Minute

// digestOf stands for what should be the same at all relays of a fleet.
func digestOf(v any) versionaudit.Version {
	data, err := json.Marshal(v)
	if err != nil {
		return 0 // none: the settings are plain values
	}
	h := fnv.New32a()
	h.Write(data)
	return versionaudit.Version(max(1, h.Sum32()))
}

// act tells the fleet what this relay acts on now.
func (r *Relay) act() {
	f := r.company
	on := map[versionaudit.Kind]versionaudit.Version{
		versionaudit.Partners: digestOf(r.alone.dir.Load().all),
		versionaudit.Fleet:    digestOf([]any{r.alone.Fleet, r.conf.Peers, r.set.Weights}),
		versionaudit.Rules:    digestOf([]any{r.set.Classes, r.set.Rules, r.set.Zones, r.set.ZoneFee, r.set.KindNames, r.set.Kinds}),
		versionaudit.Build:    digestOf(r.alone.Version),
	}
	var acts []override.ActiveVersion
	for _, k := range versionaudit.Kinds {
		acts = append(acts, override.ActiveVersion{Kind: int(k), Version: uint32(on[k])})
	}
	f.talk.SetActiveVersions(acts)
	r.heardActs(f.self)
}

// heardActs enters what a relay says that it acts on.
func (r *Relay) heardActs(relay int) {
	f, now := r.company, r.now()
	for _, a := range f.talk.ActiveVersions(relay) {
		f.ledger.Record(now, relay, versionaudit.Kind(a.Kind), versionaudit.Version(a.Version))
	}
}

// warnBehind logs, once for each, who has been behind for long.
func (r *Relay) warnBehind() {
	f := r.company
	if f == nil || r.now() < f.lookAt {
		return
	}
	f.lookAt = r.now() + time.Second
	for _, row := range f.ledger.Rows(r.now()) {
		key := straggler{row.Relay, row.Kind, row.Version}
		if row.State != versionaudit.Behind || row.BehindFor < behindFor || row.SinceReport > override.UnreachableAfter || f.warned[key] {
			continue
		}
		f.warned[key] = true
		slog.Warn("a relay acts on an older version", "relay", f.names[row.Relay], "of", row.Kind.String(), "for", row.BehindFor.Round(time.Second), "newest_at", row.OnNewest,
			"relays", len(f.names))
	}
}

// straggler is a relay that is behind.
type straggler struct {
	relay   int
	kind    versionaudit.Kind
	version versionaudit.Version
}

// showVersions describes who acts on what.
func (r *Relay) showVersions() []adminapi.FleetVersion {
	f := r.company
	all := []adminapi.FleetVersion{}
	for _, row := range f.ledger.Rows(r.now()) {
		v := adminapi.FleetVersion{Relay: f.names[row.Relay], Kind: row.Kind.String(), State: string(row.State), Newest: row.OnNewest}
		if row.State != versionaudit.Unknown {
			v.Version, v.ForMs, v.HeardMs, v.BehindMs = uint32(row.Version), row.ActiveFor.Milliseconds(), row.SinceReport.Milliseconds(), row.BehindFor.Milliseconds()
		}
		all = append(all, v)
	}
	return all
}
