package adminapi

import (
	"net/url"
	"slices"
	"strconv"
	"time"
)

// States of a message.
const (
	Waiting   = "waiting"
	Out       = "out"
	Delivered = "delivered"
	Refused   = "refused" // never executed, or repeatable: it may be submitted again
	Fails     = "failed"  // it may have been executed
)

// States are all states of a message.
var States = []string{Waiting, Out, Delivered, Refused, Fails}

// Message is a pending or completed message.
type Message struct {
	ID       string    `json:"id"`
	Class    string    `json:"class"`
	Partner  string    `json:"partner"`
	State    string    `json:"state"`
	Key      string    `json:"key,omitempty"`
	Bytes    int       `json:"bytes"`
	TakenMs  int64     `json:"taken_ms"`
	DueMs    int64     `json:"due_ms"`
	EndedMs  int64     `json:"ended_ms,omitempty"`
	AgainMs  int64     `json:"again_ms,omitempty"` // when to submit it again
	Why      string    `json:"why,omitempty"`      // why it was not delivered, or waits
	NextMs   int64     `json:"next_ms,omitempty"`  // earliest time at which that changes
	Ran      bool      `json:"may_have_run"`
	Tries    int       `json:"tries"`
	Attempts []Attempt `json:"attempts,omitempty"` // not in lists
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	AtMs     int64  `json:"at_ms"`
	TookMs   int64  `json:"took_ms,omitempty"`
	Outcome  string `json:"outcome"` // "out" while it is in flight
	Ran      bool   `json:"may_have_run"`
}

// Sizes of a Page.
const (
	PageDefault = 50
	PageMost    = 500
)

// Query selects messages. Zero values do not restrict. With the state of completed messages, or Ended, it lists the retained
// outcomes, newest first; otherwise pending messages, oldest first.
type Query struct {
	Partner  string
	Class    string
	State    string
	Ended    bool
	Older    time.Duration // minimum age, pending or since completion
	Newest   bool          // pending messages, newest first
	Limit    int           // PageDefault if 0, PageMost at most
	Cursor   string        // from the previous page
	IDPrefix string
}

// Page is a part of a list of messages.
type Page struct {
	Messages []Message `json:"messages"`
	Next     string    `json:"next,omitempty"` // cursor of the next page; empty if there is none
}

// queryNames are the parameters of a Query, in the order of encode.
var queryNames = []string{"partner", "class", "state", "ended", "older_ms", "newest", "limit", "cursor", "id"}

// encode returns the query as URL parameters.
func (q Query) encode() url.Values {
	v := url.Values{}
	set := func(name, value string, is bool) {
		if is {
			v.Set(name, value)
		}
	}
	set("partner", q.Partner, q.Partner != "")
	set("class", q.Class, q.Class != "")
	set("state", q.State, q.State != "")
	set("ended", "true", q.Ended)
	set("older_ms", strconv.FormatInt(q.Older.Milliseconds(), 10), q.Older != 0)
	set("newest", "true", q.Newest)
	set("limit", strconv.Itoa(q.Limit), q.Limit != 0)
	set("cursor", q.Cursor, q.Cursor != "")
	set("id", q.IDPrefix, q.IDPrefix != "")
	return v
}

// parseQuery parses what encode returns. Unknown parameters are an error: ignoring a filter would list messages that were
// not asked for.
func parseQuery(v url.Values) (Query, error) {
	for name, all := range v {
		if !slices.Contains(queryNames, name) || len(all) > 1 {
			return Query{}, Errorf(Invalid, "parameter %q is unknown or there twice", name)
		}
	}
	var bad error
	whole := func(name string) int64 {
		text := v.Get(name)
		if text == "" {
			return 0
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > 1e12 {
			bad = Errorf(Invalid, "%s is %q, must be a whole number", name, text)
		}
		return n
	}
	truth := func(name string) bool {
		b, err := strconv.ParseBool(v.Get(name))
		if err != nil && v.Has(name) {
			bad = Errorf(Invalid, "%s is %q, must be true or false", name, v.Get(name))
		}
		return b
	}
	q := Query{Partner: v.Get("partner"), Class: v.Get("class"), State: v.Get("state"), Ended: truth("ended"),
		Older: time.Duration(whole("older_ms")) * time.Millisecond, Newest: truth("newest"), Limit: int(whole("limit")),
		Cursor: v.Get("cursor"), IDPrefix: v.Get("id")}
	return q, bad
}
