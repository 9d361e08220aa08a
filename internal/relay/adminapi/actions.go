package adminapi

// DrainRequest drains or undrains a target.
type DrainRequest struct {
	Target    string `json:"target"` // relay, partner:NAME or endpoint:NAME
	By        string `json:"by"`
	WithinMs  int64  `json:"within_ms,omitempty"`  // of the relay's drain
	AllowLast bool   `json:"allow_last,omitempty"` // also the last open endpoint of a partner
	DryRun    bool   `json:"dry_run,omitempty"`    // answer the consequences only
	Fleet     bool   `json:"fleet,omitempty"`      // at all relays of the fleet
}

// DrainAnswer is the result of a drain or undrain, or of a dry run, with its consequences in numbers.
type DrainAnswer struct {
	Target    string   `json:"target"`
	Result    string   `json:"result,omitempty"` // empty for a dry run
	Closes    []string `json:"closes,omitempty"` // open endpoints that would be closed
	Last      bool     `json:"last,omitempty"`   // the endpoint is its partner's last open one
	Waiting   int      `json:"waiting"`          // messages for the partner, or all
	Out       int      `json:"out"`              // calls in flight
	GraceMs   int64    `json:"grace_ms"`         // no new calls after this
	UntilMs   int64    `json:"until_ms,omitempty"`
	Unhealthy bool     `json:"unhealthy,omitempty"` // of an undrain: it starts as one that recovers from an outage
	Fleet     *Fleet   `json:"fleet,omitempty"`     // of a drain for the fleet: which relays act on it
}

// StopRequest requests a graceful stop.
type StopRequest struct {
	By       string `json:"by"`
	WithinMs int64  `json:"within_ms,omitempty"` // 0 for the configured time
	DryRun   bool   `json:"dry_run,omitempty"`
}

// StopAnswer is what is left to do before a stop.
type StopAnswer struct {
	Result  string `json:"result,omitempty"`
	UntilMs int64  `json:"until_ms"`
	Left    Left   `json:"left"`
}
