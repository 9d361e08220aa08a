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

// stragglerAfter is how long a relay may be behind the newest version before the log reports it, once.
const stragglerAfter = time.Minute

// digestOf returns a digest of what should be the same at all relays of a fleet. It hashes JSON with the names of Go fields:
// renaming a field of a digested type makes relays of different builds differ (TestDigestsMatchFrozenValues).
func digestOf(v any) versionaudit.Version {
	data, err := json.Marshal(v)
	if err != nil {
		return 0 // never: the settings are plain values
	}
	h := fnv.New32a()
	h.Write(data)
	return versionaudit.Version(max(1, h.Sum32()))
}

// publishVersions has the fleet learn which versions this relay acts on now.
func (r *Relay) publishVersions() {
	fleet := r.cluster
	on := map[versionaudit.Kind]versionaudit.Version{
		versionaudit.Partners: digestOf(r.standalone.directory.Load().all),
		versionaudit.Fleet:    digestOf([]any{r.standalone.Fleet, r.config.Peers, r.settings.Weights}),
		versionaudit.Rules: digestOf([]any{r.settings.Classes, r.settings.Rules, r.settings.Zones, r.settings.ZoneFee,
			r.settings.KindNames, r.settings.Kinds}),
		versionaudit.Build: digestOf(r.standalone.Version),
	}
	var acts []override.ActiveVersion
	for _, kind := range versionaudit.Kinds {
		acts = append(acts, override.ActiveVersion{Kind: int(kind), Version: uint32(on[kind])})
	}
	fleet.gossiper.SetActiveVersions(acts)
	r.auditVersions(fleet.self)
}

// auditVersions enters the versions that a relay reports.
func (r *Relay) auditVersions(relay int) {
	f, now := r.cluster, r.now()
	for _, a := range f.gossiper.ActiveVersions(relay) {
		f.auditor.Record(now, relay, versionaudit.Kind(a.Kind), versionaudit.Version(a.Version))
	}
}

// warnStragglers logs, once for each, which relays have been behind for long.
func (r *Relay) warnStragglers() {
	fleet := r.cluster
	if fleet == nil || r.now() < fleet.checkAt {
		return
	}
	fleet.checkAt = r.now() + time.Second
	for _, row := range fleet.auditor.Rows(r.now()) {
		key := straggler{row.Relay, row.Kind, row.Version}
		if row.State != versionaudit.Behind || row.BehindFor < stragglerAfter ||
			row.SinceReport > override.UnreachableAfter || fleet.warned[key] {
			continue
		}
		fleet.warned[key] = true
		slog.Warn("a relay acts on an older version", "relay", fleet.names[row.Relay], "of", row.Kind.String(),
			"for", row.BehindFor.Round(time.Second), "newest_at", row.OnNewest,
			"relays", len(fleet.names))
	}
}

// straggler identifies a relay that is behind, and the version that it acts on.
type straggler struct {
	relay   int
	kind    versionaudit.Kind
	version versionaudit.Version
}

// versionViews describes which relay acts on which version.
func (r *Relay) versionViews() []adminapi.FleetVersion {
	f := r.cluster
	all := []adminapi.FleetVersion{}
	for _, row := range f.auditor.Rows(r.now()) {
		v := adminapi.FleetVersion{Relay: f.names[row.Relay], Kind: row.Kind.String(), State: string(row.State), Newest: row.OnNewest}
		if row.State != versionaudit.Unknown {
			v.Version, v.ForMs = uint32(row.Version), row.ActiveFor.Milliseconds()
			v.HeardMs, v.BehindMs = row.SinceReport.Milliseconds(), row.BehindFor.Milliseconds()
		}
		all = append(all, v)
	}
	return all
}
