package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/statedir"
)

// journalView is what a state folder holds, for print.
type journalView struct {
	State    string           `json:"state"`
	InUse    bool             `json:"in_use"` // by a relay that runs
	Bytes    int64            `json:"bytes"`
	Segments []segmentView    `json:"segments"`
	Messages []messageView    `json:"messages"`
	Ended    int              `json:"ended_ids"`
	Drains   []string         `json:"drains"`
	Unwell   []string         `json:"unwell"` // endpoints
	Damage   []journal.Damage `json:"damage"`
	Suspects []string         `json:"suspects"`
	Lost     []string         `json:"lost"`
	Torn     int              `json:"torn_bytes"`
	Unread   int              `json:"unread_bytes"` // of the format before
	Foreign  []string         `json:"foreign"`
}

type segmentView struct {
	Name    string `json:"name"`
	Bytes   int    `json:"bytes"`
	Records int    `json:"records"`
	First   uint64 `json:"first"`
	Last    uint64 `json:"last"`
}

type messageView struct {
	ID      string `json:"id"`
	Partner string `json:"partner"` // its number under a platform
	Class   string `json:"class"`
	Bytes   int    `json:"bytes"`
	DueMs   int64  `json:"due_ms"`
	Tries   int    `json:"tries"`
	Owed    string `json:"owed"`
}

// owed is what an entry's message is owed.
func owed(e *journal.Entry) string {
	switch {
	case e.Status != "" && e.EndAt > 0 && e.TakenAt > 0:
		return "nothing, it ended as " + e.Status
	case e.Status != "":
		return "a notice: " + e.Status
	case e.Out:
		return "an end; an attempt was out, which may have run"
	case e.Ran:
		return "an end; an attempt may have run"
	case e.Tries > 0:
		return "an end; no attempt ran"
	}
	return "an end; not tried yet"
}

// readJournal reads a state folder and changes nothing there.
func readJournal(dir string) (v journalView, err error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return v, coded{fmt.Errorf("%s is no state folder: %w", dir, cmp.Or(err, errors.New("not a folder"))), exitFailed}
	}
	j, err := journal.Inspect(dir)
	if err != nil {
		return v, coded{err, exitFailed}
	}
	rep := j.Report()
	v = journalView{State: dir, InUse: statedir.InUse(dir), Bytes: j.Size(), Ended: len(j.CompletedIDs()), Damage: rep.Damage, Suspects: rep.Suspects, Lost: rep.Lost,
		Torn: rep.TornBytes, Unread: rep.LegacyUnread, Foreign: rep.Foreign}
	for _, s := range rep.Segments {
		v.Segments = append(v.Segments, segmentView(s))
	}
	for _, e := range j.InOrder() {
		v.Messages = append(v.Messages, messageView{e.ID, cmp.Or(e.Partner, strconv.Itoa(e.Dest)), e.Class, max(len(e.Body), e.Bytes), e.Due, e.Tries, owed(e)})
	}
	for id := range j.Drains {
		v.Drains = append(v.Drains, id)
	}
	for id := range j.Unhealthy {
		v.Unwell = append(v.Unwell, id)
	}
	return v, nil
}

func (a *app) journalCommand() *cobra.Command {
	c := &cobra.Command{Use: "journal", Short: "Look into a relay's state folder, also while no relay runs there", GroupID: "relay"}
	var list bool
	inspect := &cobra.Command{Use: "inspect STATE", Short: "Print what a state folder holds: segments, messages, what each is owed", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			v, err := readJournal(args[0])
			if err != nil {
				return err
			}
			return a.print(v, func() { a.showJournal(v, list) })
		}}
	inspect.Flags().BoolVarP(&list, "messages", "m", false, "list every message")
	verify := &cobra.Command{Use: "verify STATE", Short: "Read all of a state folder; exit code 1 if anything is damaged", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			v, err := readJournal(args[0])
			if err != nil {
				return err
			}
			if err := a.print(v, func() { a.showDamage(v) }); err != nil {
				return err
			}
			if len(v.Damage)+len(v.Lost)+v.Unread > 0 {
				return coded{fmt.Errorf("%s is damaged", args[0]), exitFailed}
			}
			return nil
		}}
	c.AddCommand(inspect, verify)
	return c
}

func (a *app) showJournal(v journalView, list bool) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "segment\tbytes\trecords\tfirst\tlast")
	for _, s := range v.Segments {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", s.Name, s.Bytes, s.Records, s.First, s.Last)
	}
	w.Flush()
	counts := map[string]int{}
	var kinds []string
	for _, m := range v.Messages {
		if counts[m.Owed]++; counts[m.Owed] == 1 {
			kinds = append(kinds, m.Owed)
		}
	}
	fmt.Fprintf(a.out, "\n%d messages, %d ids of ended ones remembered, %d drains in force, %d endpoints unwell\n", len(v.Messages), v.Ended, len(v.Drains), len(v.Unwell))
	for _, k := range kinds {
		fmt.Fprintf(a.out, "%8d  are owed %s\n", counts[k], k)
	}
	if list {
		fmt.Fprintln(w, "\nid\tpartner\tclass\tbytes\tdue\ttries\towed")
		for _, m := range v.Messages {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", m.ID, m.Partner, m.Class, m.Bytes, time.UnixMilli(m.DueMs).Format(time.DateTime), m.Tries, m.Owed)
		}
		w.Flush()
	}
	fmt.Fprintln(a.out)
	a.showDamage(v)
}

func (a *app) showDamage(v journalView) {
	for _, d := range v.Damage {
		fmt.Fprintf(a.out, "damaged: %s\n", d)
	}
	for _, id := range v.Lost {
		fmt.Fprintf(a.out, "lost but for its id: %s\n", id)
	}
	for _, id := range v.Suspects {
		fmt.Fprintf(a.out, "may lack records, counts as possibly run: %s\n", id)
	}
	if v.Unread > 0 {
		fmt.Fprintf(a.out, "damaged: the last %d bytes of the journal in its earlier format cannot be read\n", v.Unread)
	}
	if v.Torn > 0 {
		fmt.Fprintf(a.out, "the last %d bytes were being written; nothing that was acknowledged is in them\n", v.Torn)
	}
	if v.InUse {
		fmt.Fprintln(a.out, "a relay runs there: what it writes meanwhile may show as torn")
	}
	if len(v.Damage)+len(v.Lost)+v.Unread == 0 {
		fmt.Fprintf(a.out, "no damage in %d segments, %.1f MB\n", len(v.Segments), float64(v.Bytes)/1e6)
	}
}
