package adminapi

// Status is the state of the relay.
type Status struct {
	API       int       `json:"api"`
	Version   string    `json:"version"`
	PID       int       `json:"pid"`
	NowMs     int64     `json:"now_ms"`
	UpMs      int64     `json:"up_ms"`
	Listen    string    `json:"listen"`
	State     string    `json:"state"`
	Phase     string    `json:"phase"`              // serving, draining, drained, stopping
	UntilMs   int64     `json:"until_ms,omitempty"` // the phase ends by then
	Left      *Left     `json:"left,omitempty"`     // what a completed drain left over
	Held      int       `json:"held"`
	HeldMost  int       `json:"held_most"`
	Out       int       `json:"out"` // calls in flight
	Slots     int       `json:"slots"`
	OldestMs  int64     `json:"oldest_ms"` // age of the oldest pending message
	Ends      int       `json:"ends"`      // retained outcomes
	EndsMost  int       `json:"ends_most"`
	DiskBytes int64     `json:"disk_bytes"`
	Journal   Journal   `json:"journal"`
	Totals    Totals    `json:"totals"`
	Series    []Second  `json:"series"` // the last complete seconds, oldest first
	Drains    []Drained `json:"drains"`
	Unhealthy int       `json:"unhealthy"` // number of endpoints that are not healthy
	Endpoints int       `json:"endpoints"`
}

// Journal is the state of the journal.
type Journal struct {
	Segments   int    `json:"segments"`
	MostBytes  int64  `json:"most_bytes"`
	Durability string `json:"durability"`        // process or power
	Trouble    string `json:"trouble,omitempty"` // why no new message is accepted
}

// Totals counts messages since the process started.
type Totals struct {
	Taken     uint64 `json:"taken"`
	Turned    uint64 `json:"turned"` // rejected before they were accepted
	Delivered uint64 `json:"delivered"`
	Refused   uint64 `json:"refused"` // after they were accepted: never executed
	Failed    uint64 `json:"failed"`
	Calls     uint64 `json:"calls"`
}

// Second counts the events of one second.
type Second struct {
	Taken     int `json:"taken"`
	Delivered int `json:"delivered"`
	Ended     int `json:"ended"` // refused or failed
}

// Left is what a drain or a stop leaves over.
type Left struct {
	Messages int            `json:"messages"`
	Partners map[string]int `json:"partners,omitempty"`
	IDs      []string       `json:"ids,omitempty"` // the oldest ten at most
	Calls    int            `json:"calls"`         // out
}

// Drained is a drain in force.
type Drained struct {
	Target  string `json:"target"` // relay, partner:NAME or endpoint:NAME
	SinceMs int64  `json:"since_ms"`
	By      string `json:"by"`
}

// Partner is a partner with its endpoints.
type Partner struct {
	Name      string     `json:"name"`
	Kind      string     `json:"kind"`
	Classes   []string   `json:"classes"`
	Waiting   int        `json:"waiting"` // messages without a call in flight
	Out       int        `json:"out"`     // calls in flight
	PauseMs   int64      `json:"pause_ms,omitempty"`
	Drained   bool       `json:"drained"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is the state of an endpoint as the decisions see it.
type Endpoint struct {
	ID        string  `json:"id"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	State     string  `json:"state"`         // open, drained
	By        string  `json:"by,omitempty"`  // what drained it: endpoint, partner or both
	Health    string  `json:"health"`        // healthy, suspect, recovering
	Why       string  `json:"why,omitempty"` // why it is not healthy
	ForMs     int64   `json:"for_ms,omitempty"`
	WaitMs    int64   `json:"wait_ms,omitempty"`  // remaining time of a Retry-After
	PauseMs   int64   `json:"pause_ms,omitempty"` // remaining time of the relay's own pause
	TrialMs   int64   `json:"trial_ms,omitempty"` // until the next trial of a suspect
	Out       int     `json:"out"`
	LatencyMs float64 `json:"latency_ms"`
	Rate      float64 `json:"rate"`            // messages per second
	Limit     float64 `json:"limit,omitempty"` // present limit, calls per second
}

// Overview has all that a console polls, in one answer.
type Overview struct {
	Status   Status    `json:"status"`
	Partners []Partner `json:"partners"`
	Log      []LogLine `json:"log"`
}

// LogLine is a line of the relay's log.
type LogLine struct {
	N     uint64 `json:"n"` // its number
	AtMs  int64  `json:"at_ms"`
	Level string `json:"level"`
	Text  string `json:"text"`
}
