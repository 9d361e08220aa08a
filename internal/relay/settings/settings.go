// Package settings parses the settings object of a relay, which the simulator sends on its wire and which a relay's
// configuration file contains. Missing compares two versions of a file, to detect one that is incomplete.
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

// limitColumn is the column of an inline load report with the limit of calls per second at the host.
const limitColumn = "x1"

// effects are the effects that a retry may have, by their JSON names.
var effects = map[string]choice.Effect{
	"idempotent":   choice.Safe,
	"deduplicated": choice.Keyed,
	"at_most_once": choice.Unsafe,
}

// Settings are the parameters of the decisions, and those that only a real relay uses.
type Settings struct {
	choice.Settings
	Zones         []string      // names by Host.Zone
	KindNames     []string      // names by Host.Kind
	DialTimeout   time.Duration // of a connection to a host
	MaxRetryAfter time.Duration // the longest Retry-After that clients follow
	Peers         bool          // relays may exchange messages
	Life          uint32        // incarnation, drawn at random at each start: it fences the state that peers have of an earlier one

	// The fields below are set for a standalone relay only (package appliance).

	Shares  bool                // it shares limits with its fleet of any size, or keeps to configured ones
	Limits  map[int]quota.Limit // configured rate limits by destination
	Weights []int               // quota shares of the fleet's relays, by index; nil if all are equal
}

// seconds converts a time in seconds, rounded to microseconds.
func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }

// settingsObject is the JSON form of the settings, as far as it is read. Times are in seconds. A key that is
// absent is 0.
type settingsObject struct {
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

// Parse parses the settings object. Unknown keys are ignored; an unknown effect of a class is an error.
func Parse(data []byte) (Settings, error) {
	var c settingsObject
	if err := json.Unmarshal(data, &c); err != nil {
		return Settings{}, err
	}
	s := Settings{
		Settings:      c.decisionSettings(),
		Zones:         c.Zones,
		KindNames:     c.Skus,
		DialTimeout:   seconds(c.Bounds.DialTimeout),
		MaxRetryAfter: seconds(c.Bounds.MaxRetryAfter),
		Peers:         c.Bounds.Peers,
	}
	var err error
	if s.Classes, err = c.classes(); err != nil {
		return s, err
	}
	s.Kinds = c.kinds()
	return s, nil
}

// decisionSettings returns the settings of the decisions without classes and kinds.
func (c *settingsObject) decisionSettings() choice.Settings {
	s := choice.Settings{
		Index:       c.Index,
		Fleet:       c.FleetSize,
		Workers:     c.Family.Workers,
		MaxHeld:     c.Bounds.MostHeld,
		MaxAttempts: c.Bounds.MaxAttempts,
		Tick:        seconds(c.Tick),
		ZoneFee:     c.Family.ZoneFee,
		Halving:     c.Family.Late == "halving",
		Listed:      c.Weights == "nominal" || c.Weights == "rough",
		Cancels:     c.Bounds.Cancel,
		Subscribe:   c.RegistryMode == "subscribe",
		ReportLimit: -1,
		Handshake:   c.Prices.Handshake,
		IdleConn:    seconds(c.Bounds.ConnIdle),
		Rules: choice.Rules{
			AnswerGrace:    seconds(c.Rules.GraceToAnswer),
			DrainGrace:     seconds(c.Rules.DrainGrace),
			OverloadFactor: c.Rules.OverloadFactor,
			Fall:           seconds(c.Rules.Fall),
			ColdFrom:       c.Rules.ColdFrom,
			Cold:           seconds(c.Rules.Cold),
			OrderSettle:    seconds(c.Rules.OrderSettle),
		},
	}
	if c.LoadReport.How == "inline" {
		s.ReportLimit = slices.Index(c.LoadReport.Columns, limitColumn)
	}
	return s
}

// classes returns the classes of messages up to the first with an unknown effect, which is an error.
func (c *settingsObject) classes() (classes []choice.Class, err error) {
	for _, class := range c.Classes {
		effect, ok := effects[class.Effect]
		if !ok {
			return classes, fmt.Errorf("classes: %q is no effect", class.Effect)
		}
		classes = append(classes, choice.Class{
			Name:      class.Name,
			Aim:       seconds(class.Aim),
			Deadline:  seconds(class.GiveUp),
			Worth:     class.Worth,
			LateShare: class.LateShare,
			Effect:    effect,
			SameZone:  class.Group != "all",
			Window:    seconds(class.Window),
			Ordered:   class.KeepOrder,
		})
	}
	return classes, nil
}

// kinds returns the kinds of hosts. A kind that the lists of the family do not reach has no limits of its own
// and takes one message per call.
func (c *settingsObject) kinds() (kinds []choice.Kind) {
	for i := range c.Skus {
		kind := choice.Kind{PerCall: 1}
		if i < len(c.Family.OwnLimits) {
			kind.Apart = c.Family.OwnLimits[i]
		}
		if i < len(c.Family.PerCall) {
			kind.PerCall = max(1, c.Family.PerCall[i])
		}
		kinds = append(kinds, kind)
	}
	return kinds
}
