package adminapi

// Fleet is the fleet as one relay sees it, with the limits of which the relay has a share.
type Fleet struct {
	Name        string         `json:"name,omitempty"` // of this relay; empty without a fleet
	Parts       int            `json:"parts"`          // number of shares of each limit
	Over        float64        `json:"over,omitempty"` // factor by which all sides of a partition may exceed a learned limit
	LostAfterMs int64          `json:"lost_after_ms"`  // time after which an unreachable relay counts as lost
	Relays      []FleetRelay   `json:"relays"`
	Limits      []FleetLimit   `json:"limits"`
	Words       []FleetWord    `json:"words"`
	Sights      []FleetSight   `json:"sights"`
	Versions    []FleetVersion `json:"versions"`
	HeedMs      int64          `json:"heed_ms"`       // time within which all reachable relays act on an override
	HeedLossyMs int64          `json:"heed_lossy_ms"` // the same with a message loss of 30 %
}

// FleetRelay is a relay of the fleet.
type FleetRelay struct {
	Name      string `json:"name"`
	Address   string `json:"address"`
	Self      bool   `json:"self,omitempty"`
	There     bool   `json:"there"`                // reachable, possibly through other relays
	HeardMs   int64  `json:"heard_ms"`             // time since the last contact, direct or through others; -1 for never
	MetMs     int64  `json:"met_ms"`               // time since its last own message; -1 for never
	Agrees    bool   `json:"agrees"`               // it has the same overrides
	Gone      bool   `json:"gone,omitempty"`       // declared as gone for good by an operator
	OtherList bool   `json:"other_list,omitempty"` // its file lists other relays
}

// FleetLimit is a partner's limit. Shares are fractions of it.
type FleetLimit struct {
	Partner string       `json:"partner"`
	Steward string       `json:"steward,omitempty"` // relay to which this relay's share is pledged
	LeftMs  int64        `json:"left_ms,omitempty"` // time until the pledge expires unless it is renewed
	Own     float64      `json:"own"`               // share of this relay
	Granted float64      `json:"granted"`           // share that this relay may grant as steward
	Asks    int          `json:"asks"`              // relays that wait for a grant of this one
	Rate    float64      `json:"rate,omitempty"`    // configured, calls per second; 0 if unknown
	Burst   float64      `json:"burst,omitempty"`
	AtOnce  int          `json:"at_once,omitempty"`
	Over    float64      `json:"over"` // factor by which all sides of a partition may exceed the limit
	Routes  []FleetRoute `json:"routes"`
}

// FleetRoute is what a steward has learned about a route.
type FleetRoute struct {
	Route string  `json:"route"`
	State string  `json:"state"` // open, down or cold
	ForMs int64   `json:"for_ms"`
	Rate  float64 `json:"rate"` // calls per second that may be granted here
	Used  float64 `json:"used"`
	Out   int     `json:"out"`
}

// FleetWord is an operator's override for the fleet.
type FleetWord struct {
	Subject string   `json:"subject"` // partner:NAME, endpoint:NAME or gone:RELAY
	Holds   bool     `json:"holds"`   // false: it was cancelled
	Count   uint64   `json:"count"`
	By      string   `json:"by"`
	Origin  string   `json:"origin"` // relay at which it was given
	AtMs    int64    `json:"at_ms"`
	Heeded  []string `json:"heeded"`  // relays that are known to have recorded it and to act on it
	Missing []string `json:"missing"` // the other relays
}

// FleetSight is a relay's own observation of an endpoint; it does not bind other relays.
type FleetSight struct {
	Subject string `json:"subject"`
	Out     bool   `json:"out"` // false: it has recovered
	Relay   string `json:"relay"`
	ForMs   int64  `json:"for_ms"`
	SaidMs  int64  `json:"said_ms"` // time since that relay reported it last
}

// FleetVersion is a version that a relay acts on. Those that are behind are listed first.
type FleetVersion struct {
	Relay    string `json:"relay"`
	Kind     string `json:"kind"`    // partners, fleet, rules or build
	Version  uint32 `json:"version"` // a digest
	State    string `json:"state"`   // current, behind or unknown
	ForMs    int64  `json:"for_ms"`  // time for which it is known to act on it
	HeardMs  int64  `json:"heard_ms"`
	BehindMs int64  `json:"behind_ms,omitempty"` // time since a newer version appeared
	Newest   int    `json:"newest"`              // number of relays that act on the newest one
}

// GoneRequest declares a relay as gone for good, or as back.
type GoneRequest struct {
	Relay string `json:"relay"`
	Back  bool   `json:"back,omitempty"`
	By    string `json:"by"`
}
