package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/journal"
)

// stateNames are the states of the admin API, by status in the journal.
var stateNames = map[string]string{delivered: adminapi.Delivered, deferred: adminapi.Refused, undeliverable: adminapi.Fails}

// outcomeNames are the names of outcomes in the journal and the admin API.
var outcomeNames = map[choice.Outcome]string{choice.Served: "delivered", choice.Error: "error", choice.Refused: "refused",
	choice.Timeout: "timed out", choice.NoConnection: "no connection", choice.Reset: "reset", choice.Cancelled: "called off",
	choice.NotSent: "not sent", choice.Spoilt: "spoilt answer"}

// describeMessage describes a message, on the loop; m is nil if it has ended. Attempts are included if complete is set.
func (r *Relay) describeMessage(e *journal.Entry, m *message, complete bool) adminapi.Message {
	c := adminapi.Message{ID: e.ID, Class: e.Class, Partner: e.Partner, Key: e.Key, Bytes: e.Bytes, TakenMs: e.TakenAt, DueMs: e.Due,
		Ran: e.Ran, Tries: e.Tries, State: stateNames[e.Status], EndedMs: e.EndAt, AgainMs: e.Again, Why: e.Why}
	if m != nil {
		c.State = adminapi.Waiting
		if m.call != nil {
			c.State = adminapi.Out
		}
	}
	if c.State == adminapi.Waiting {
		c.Why, c.NextMs = r.waitReason(m)
	}
	if !complete {
		return c
	}
	for i, a := range e.Log {
		ca := adminapi.Attempt{Endpoint: a.Host, AtMs: a.At, TookMs: a.Took, Outcome: a.Outcome, Ran: a.Ran}
		if ca.Outcome == "" && m != nil && m.call != nil && i == len(e.Log)-1 {
			ca.Outcome, ca.TookMs = "out", time.Now().UnixMilli()-a.At
		} else if ca.Outcome == "" {
			ca.Outcome, ca.Ran = "not recorded: the relay ended under it", true
		}
		c.Attempts = append(c.Attempts, ca)
	}
	return c
}

// waitReason returns why a message is not in flight, and when that changes by itself, in Unix milliseconds.
func (r *Relay) waitReason(m *message) (why string, next int64) {
	p := r.standalone.directory.Load().byNumber[m.Dest]
	v, ok := r.chooser.Waits(m.ID)
	if !ok || p == nil {
		return "", 0
	}
	if v.Again > 0 {
		next = time.Now().Add(v.Again).UnixMilli()
	}
	if why = v.Why; v.Host != "" {
		why = v.Host + " " + why
	}
	var drained []string
	for _, e := range p.Endpoints {
		if !r.standalone.drains.Open(e.ID) {
			drained = append(drained, e.ID)
		}
	}
	if len(drained) > 0 {
		why += "; drained: " + strings.Join(drained, ", ")
	}
	return why, next
}

// findMessage describes a message by its id, on the loop; nil if it is unknown.
func (r *Relay) findMessage(id string) *adminapi.Message {
	m, e := r.pending[id], r.standalone.ends.Get(id)
	if m != nil {
		e = m.Entry
	}
	for _, o := range r.unstoredEnds { // not recorded yet
		if e == nil && o.ID == id {
			e = o
		}
	}
	if e == nil {
		return nil
	}
	c := r.describeMessage(e, m, true)
	return &c
}

// Message implements adminapi.Backend.
func (r *Relay) Message(ctx context.Context, id string) (adminapi.Message, error) {
	m, err := onLoop(ctx, r, func() *adminapi.Message { return r.findMessage(id) })
	if err != nil {
		return adminapi.Message{}, err
	}
	if m == nil {
		return adminapi.Message{}, adminapi.Errorf(adminapi.NotFound,
			"message %q: never taken on, or its end is no longer remembered", id)
	}
	return *m, nil
}

// Messages implements adminapi.Backend. The cursor is the number of the last message returned, after a letter that
// identifies the list.
func (r *Relay) Messages(ctx context.Context, q adminapi.Query) (adminapi.Page, error) {
	page := adminapi.Page{Messages: []adminapi.Message{}}
	letter, from, err := parseQuery(&q)
	if err != nil {
		return page, err
	}
	scan := r.scanPending
	if letter == endedLetter {
		scan = r.scanEnds
	}
	type part struct {
		found []adminapi.Message
		from  uint64
	}
	for {
		// Each part belongs to the loop until it is returned: a request that ends early shares nothing with it.
		most, at := min(maxDescribed, q.Limit-len(page.Messages)), from
		p, err := onLoop(ctx, r, func() (p part) { p.found, p.from = scan(q, at, most); return p })
		if err != nil {
			return page, err
		}
		page.Messages, from = append(page.Messages, p.found...), p.from
		if from == 0 || len(page.Messages) >= q.Limit {
			break
		}
	}
	if from > 0 {
		page.Next = letter + strconv.FormatUint(from, 10)
	}
	return page, nil
}

// Letters of the lists in cursors.
const (
	endedLetter   = "e"
	pendingLetter = "h"
	newestLetter  = "n" // pending, newest first
)

// parseQuery checks a query and sets its default limit. It returns the letter of the list that is asked for, and the number
// in the cursor; 0 for the beginning.
func parseQuery(q *adminapi.Query) (letter string, from uint64, err error) {
	if q.Limit == 0 {
		q.Limit = adminapi.PageDefault
	}
	if q.Limit < 0 || q.Limit > adminapi.PageMost {
		return "", 0, adminapi.Errorf(adminapi.Invalid, "limit is %d, must be from 1 to %d", q.Limit, adminapi.PageMost)
	}
	if q.State != "" && !slices.Contains(adminapi.States, q.State) {
		return "", 0, adminapi.Errorf(adminapi.Invalid, "state is %q, must be one of %s", q.State, strings.Join(adminapi.States, ", "))
	}
	switch {
	case q.Ended || q.State != "" && q.State != adminapi.Waiting && q.State != adminapi.Out:
		letter = endedLetter
	case q.Newest:
		letter = newestLetter
	default:
		letter = pendingLetter
	}
	if q.Cursor == "" {
		return letter, 0, nil
	}
	from, err = strconv.ParseUint(strings.TrimPrefix(q.Cursor, letter), 10, 64)
	if err != nil || !strings.HasPrefix(q.Cursor, letter) || from == 0 {
		return "", 0, adminapi.Errorf(adminapi.Invalid, "cursor %q is not of this list", q.Cursor)
	}
	return letter, from, nil
}

// matchesQuery reports whether a message matches a query; since is when it was admitted or ended.
func matchesQuery(q adminapi.Query, e *journal.Entry, state string, since int64) bool {
	return (q.Partner == "" || e.Partner == q.Partner) && (q.Class == "" || e.Class == q.Class) &&
		(q.State == "" || state == q.State) && strings.HasPrefix(e.ID, q.IDPrefix) &&
		(q.Older <= 0 || time.Now().UnixMilli()-since > q.Older.Milliseconds())
}

// scanPending looks at some pending messages after the one with a number, or before it if the newest come first. It returns
// those that match and the number to continue from; 0 at the end.
func (r *Relay) scanPending(q adminapi.Query, from uint64, most int) (found []adminapi.Message, next uint64) {
	all := r.standalone.pendingInOrder
	step, i := 1, sort.Search(len(all), func(i int) bool { return all[i].sequence > from })
	if q.Newest {
		step, i = -1, len(all)-1
		if from > 0 {
			i = sort.Search(len(all), func(i int) bool { return all[i].sequence >= from }) - 1
		}
	}
	for n := 0; i >= 0 && i < len(all); i += step {
		if n++; n > maxScanned || len(found) >= most {
			return found, from
		}
		m := all[i]
		from = m.sequence
		if m.ended {
			continue
		}
		state := adminapi.Waiting
		if m.call != nil {
			state = adminapi.Out
		}
		if matchesQuery(q, m.Entry, state, m.TakenAt) {
			found = append(found, r.describeMessage(m.Entry, m, false))
		}
	}
	return found, 0
}

// scanEnds does the same for the stored ends, newest first.
func (r *Relay) scanEnds(q adminapi.Query, from uint64, most int) (found []adminapi.Message, next uint64) {
	next = r.standalone.ends.Scan(from, maxScanned, func(e *journal.Entry) bool {
		if matchesQuery(q, e, stateNames[e.Status], e.EndAt) {
			found = append(found, r.describeMessage(e, nil, false))
		}
		return len(found) < most
	})
	return found, next
}

// serveMessage answers a client's query for the state of its message.
func (r *Relay) serveMessage(w http.ResponseWriter, req *http.Request) {
	m, err := r.Message(req.Context(), req.PathValue("id"))
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusServiceUnavailable
		if adminapi.IsCode(err, adminapi.NotFound) {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
		return
	}
	json.NewEncoder(w).Encode(m)
}
