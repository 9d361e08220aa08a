package wire

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"larchrouter/choice"
)

// translate returns the event of a line; nil if package choice has no use for it. Malformed fields are recorded
// in the line.
func (s *session) translate(l *line, in *instance) (choice.Event, error) {
	switch l.name {
	case "ACCEPT":
		return choice.Arrival{ID: l.required("op-id"), Class: l.integer("priority", false), Dest: l.integer("far-end", true),
			Left: l.seconds("left", true), Key: l.fields["subject"]}, nil
	case "ATTEMPT_END":
		return choice.Result{ID: l.required("op-id"), Host: l.required("host"), Attempt: l.integer("try", false),
			Outcome: l.outcome("how"), Took: l.seconds("cost-time", false), Done: l.integer("over", false) == 1,
			Wait: time.Duration(l.integer("remark-ms", false)) * time.Millisecond, Report: l.floats("feedback")}, nil
	case "UPDATE":
		scope := l.integer("scope", false)
		if scope < 0 || scope > 3 {
			l.fail("scope", fmt.Sprintf("%d is no scope", scope))
		}
		if scope == 3 {
			return choice.Listing{Failed: true}, nil
		}
		sheet := l.integer("sheet", false)
		hosts, ok := s.catalogs[sheet]
		if !ok {
			l.fail("sheet", fmt.Sprintf("no CATALOG %d was given", sheet))
		}
		return choice.Listing{Whole: scope != 0, Hosts: hosts}, nil
	case "CLIENT_GONE":
		return choice.Withdrawn{ID: l.required("op-id")}, nil
	case "FIRED":
		if tag := l.integer("tag", false); in == nil || tag != in.timerTag {
			return nil, nil // a later timer replaced it
		}
		return choice.Woken{}, nil
	case "PROBE_DONE":
		l.required("host")
		l.outcome("how")
		return nil, nil // this program sends no probes
	case "FROM_PEER":
		e := choice.Heard{From: l.integer("author", false)}
		if b := l.fields["bytes"]; b != "" && b != "-" {
			var err error
			if e.Note, err = base64.StdEncoding.DecodeString(b); err != nil {
				l.fail("bytes", "not base64")
			}
		}
		return e, nil
	case "FIRST_BYTE":
		l.required("op-id")
		return nil, nil
	}
	return nil, fmt.Errorf("line %d: unknown message %q", l.number, l.name)
}

// printAction writes the line of an action. Actions that the protocol does not have are dropped.
func (s *session) printAction(in *instance, a choice.Action) {
	inst := in.name
	sec := func(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }
	switch a := a.(type) {
	case choice.Send:
		fmt.Fprintf(s.output, "PLACE\trelay-id=%s\top-id=%s\thost=%s\tmax-wait=%s\n", inst, a.ID, a.Host, sec(a.Timeout))
	case choice.Refuse:
		fmt.Fprintf(s.output, "DENY\trelay-id=%s\top-id=%s\tnot-before-for=%s\n", inst, a.ID, sec(a.After))
	case choice.Fail:
		fmt.Fprintf(s.output, "SURRENDER\trelay-id=%s\top-id=%s\n", inst, a.ID)
	case choice.Cancel:
		fmt.Fprintf(s.output, "REVOKE\trelay-id=%s\top-id=%s\ttry=%d\n", inst, a.ID, a.Attempt)
	case choice.Wake:
		in.timerTag++
		fmt.Fprintf(s.output, "ARM\trelay-id=%s\twait=%s\ttag=%d\n", inst, sec(a.After), in.timerTag)
	case choice.Subscribe:
		fmt.Fprintf(s.output, "OBSERVE\trelay-id=%s\twant=1\n", inst)
	case choice.Tell:
		fmt.Fprintf(s.output, "SAY\trelay-id=%s\taddressee=%d\tbytes=%s\n", inst, a.To, base64.StdEncoding.EncodeToString(a.Note))
	case choice.Log:
		fmt.Fprintf(s.output, "EMIT\trelay-id=%s\tnote-text=%s\n", inst, a.Text)
	}
}
