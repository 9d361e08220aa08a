// Package settings reads the settings object that an instance is given, on the
// simulator's wire and in a real relay's configuration alike.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

// Settings are the figures for the decisions, and what only a real relay uses.
type Settings struct {
	choice.Settings
	Zones         []string      // names, in the order of Host.Zone
	KindNames     []string      // in the order of Host.Kind
	DialTimeout   time.Duration // a connection that is not up by then has failed
	MaxRetryAfter time.Duration // clients heed no longer advice
	Peers         bool          // relays may send one another notes
	Life          uint32        // drawn anew at each start: what others hold of an earlier one is told apart by it
	// Of a relay of its own (internal/relay/appliance):
	Shares  bool                // it shares limits with its fleet however small that is, or keeps to ones that were told
	Limits  map[int]quota.Limit // told, by destination
	Weights []int               // of the fleet's relays, by number; nil where all have one part of a limit
}

func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }

// config is the part of the settings object that is read.
type config struct {
	Bounds struct {
		Cancel        bool    `json:"cancel"`
		ConnIdle      float64 `json:"conn-idle"`
		DialTimeout   float64 `json:"dial-timeout"`
		MaxRetryAfter float64 `json:"max-retry-after"`
		MaxAttempts   int     `json:"max-attempts"`
		Peers         bool    `json:"peers"`
		MostHeld      int     `json:"most-held"`
	} `json:"bounds"`
	Classes []struct {
		Name      string  `json:"name"`
		Aim       float64 `json:"aim"`
		GiveUp    float64 `json:"give-up"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		KeepOrder bool    `json:"keep-order"`
		LateShare float64 `json:"late-share"`
		Window    float64 `json:"window"`
		Worth     float64 `json:"worth"`
	} `json:"classes"`
	Family struct {
		Late      string    `json:"late"`
		OwnLimits []bool    `json:"own-limits"`
		PerCall   []int     `json:"per-call"`
		Workers   int       `json:"workers"`
		ZoneFee   []float64 `json:"zone-fee"`
	} `json:"family-info"`
	Prices struct {
		Handshake float64 `json:"handshake"`
	} `json:"prices"`
	FleetSize  int `json:"fleet-size"`
	Index      int `json:"index"`
	LoadReport struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"load-report"`
	RegistryMode string `json:"registry-mode"`
	Rules        struct {
		Cold           float64 `json:"cold"`
		ColdFrom       float64 `json:"cold-from"`
		DrainGrace     float64 `json:"drain-grace"`
		Fall           float64 `json:"fall"`
		GraceToAnswer  float64 `json:"grace-to-answer"`
		OrderSettle    float64 `json:"order-settle"`
		OverloadFactor float64 `json:"overload-factor"`
	} `json:"rules"`
	Skus    []string `json:"skus"`
	Tick    float64  `json:"tick"`
	Weights string   `json:"weights"`
	Zones   []string `json:"zones"`
}

// Parse reads the settings object.
func Parse(data []byte) (Settings, error) {
	var c config
	if err := json.Unmarshal(data, &c); err != nil {
		return Settings{}, err
	}
	s := Settings{Zones: c.Zones, KindNames: c.Skus,
		DialTimeout: seconds(c.Bounds.DialTimeout), MaxRetryAfter: seconds(c.Bounds.MaxRetryAfter),
		Peers: c.Bounds.Peers}
	s.Settings = choice.Settings{
		Index: c.Index, Fleet: c.FleetSize, Workers: c.Family.Workers, MaxHeld: c.Bounds.MostHeld,
		MaxAttempts: c.Bounds.MaxAttempts, Tick: seconds(c.Tick), ZoneFee: c.Family.ZoneFee,
		Halving: c.Family.Late == "halving", Listed: c.Weights == "nominal" || c.Weights == "rough",
		Cancels: c.Bounds.Cancel, Subscribe: c.RegistryMode == "subscribe",
		ReportLimit: -1, Handshake: c.Prices.Handshake, IdleConn: seconds(c.Bounds.ConnIdle),
		Rules: choice.Rules{
			AnswerGrace: seconds(c.Rules.GraceToAnswer), DrainGrace: seconds(c.Rules.DrainGrace),
			OverloadFactor: c.Rules.OverloadFactor, Fall: seconds(c.Rules.Fall),
			ColdFrom: c.Rules.ColdFrom, Cold: seconds(c.Rules.Cold), OrderSettle: seconds(c.Rules.OrderSettle),
		},
	}
	if c.LoadReport.How == "inline" {
		s.ReportLimit = slices.Index(c.LoadReport.Columns, "x1")
	}
	for _, k := range c.Classes {
		effect, ok := map[string]choice.Effect{
			"idempotent": choice.Safe, "deduplicated": choice.Keyed, "at_most_once": choice.Unsafe}[k.Effect]
		if !ok {
			return s, fmt.Errorf("classes: %q is no effect", k.Effect)
		}
		s.Classes = append(s.Classes, choice.Class{
			Name: k.Name, Aim: seconds(k.Aim), Deadline: seconds(k.GiveUp), Worth: k.Worth,
			LateShare: k.LateShare, Effect: effect, SameZone: k.Group != "all",
			Window: seconds(k.Window), Ordered: k.KeepOrder,
		})
	}
	for i := range c.Skus {
		k := choice.Kind{PerCall: 1}
		if i < len(c.Family.OwnLimits) {
			k.Apart = c.Family.OwnLimits[i]
		}
		if i < len(c.Family.PerCall) {
			k.PerCall = max(1, c.Family.PerCall[i])
		}
		s.Kinds = append(s.Kinds, k)
	}
	return s, nil
}
