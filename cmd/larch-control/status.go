package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"larchrouter/internal/tier/controlnode"
)

// printStatus gets the status of the core node and prints it: the body as received with --json, else what table writes, in
// columns.
func (t target) printStatus(table func(w io.Writer, status *controlnode.Status)) error {
	body, err := t.call(http.MethodGet, "/api/status", nil, nil)
	if err != nil {
		return err
	}
	var status controlnode.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return err
	}
	if t.JSON {
		return printBody(body)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w, &status)
	return w.Flush()
}

// statusCommand prints what a core node knows.
type statusCommand struct{ target }

func (c statusCommand) Run() error { return c.printStatus(writeStatus) }

func writeStatus(w io.Writer, s *controlnode.Status) {
	fmt.Fprintf(w, "node %s: %s\n", s.Node, s.Summary())
	fmt.Fprintf(w, "epoch\t%d\nchain\t%s\ncommitted\t%d of %d\nversion\t%d\nhosts\t%d\nplacement\tgen %d, %d stores\n",
		s.Epoch, strings.Join(s.Chain, " > "), s.Commit, s.LastIndex, s.ConfigVersion, s.Hosts, s.PlacementGeneration, len(s.Stores))
	for _, store := range s.UnresponsiveStores {
		fmt.Fprintf(w, "silent store\t%s at %s: %d s\n", store.Name, store.Addr, store.SinceRegistrationMs/1000)
	}
	if s.Role != "" {
		fmt.Fprintf(w, "role\t%s\n", s.Role)
	}
	for _, transfer := range s.Transfers {
		fmt.Fprintf(w, "brings up to date\t%s: %d of %d, and %d bytes of the next\n",
			transfer.To, transfer.LastIndex, transfer.Target, transfer.Bytes)
	}
}

// membersCommand lists core nodes and stores.
type membersCommand struct{ target }

func (c membersCommand) Run() error { return c.printStatus(writeMembers) }

func writeMembers(w io.Writer, s *controlnode.Status) {
	fmt.Fprintln(w, "KIND\tNAME\tADDRESS\tSILENT\tID")
	for _, voter := range s.Voters {
		fmt.Fprintf(w, "core\t%s\t%s\t%d ms\t%s\n", voter.Name, voter.Addr, voter.SinceLastMessageMs, voter.ID)
	}
	for _, store := range s.Stores {
		fmt.Fprintf(w, "store\t%s\t%s\t%s\t%s\n", store.Name, store.Addr, unresponsiveTime(s.UnresponsiveStores, store.ID), store.ID)
	}
}

// unresponsiveTime returns how long a store has been unresponsive, "" if it is not.
func unresponsiveTime(unresponsive []controlnode.UnresponsiveStore, id string) string {
	i := slices.IndexFunc(unresponsive, func(s controlnode.UnresponsiveStore) bool { return s.ID == id })
	if i < 0 {
		return ""
	}
	return fmt.Sprintf("%d ms", unresponsive[i].SinceRegistrationMs)
}

// versionsCommand lists which follower of the node's feed acts on which version of the configuration.
type versionsCommand struct{ target }

func (c versionsCommand) Run() error { return c.printStatus(writeVersions) }

func writeVersions(w io.Writer, s *controlnode.Status) {
	fmt.Fprintln(w, "RELAY\tCLASS\tVERSION\tPLACE\tSILENT")
	for _, follower := range s.Followers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d ms\n", follower.Name, follower.Class, follower.ActiveVersion, follower.AppliedIndex, follower.SinceLastPollMs)
	}
}
