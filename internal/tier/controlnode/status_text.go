package controlnode

import (
	"fmt"
	"strings"
)

// Summary returns one line for operators: the most important fault that the status shows, or that all is well.
func (s *Status) Summary() string {
	unresponsive := 0
	for _, v := range s.Voters {
		if v.SinceLastMessageMs > 1000 {
			unresponsive++
		}
	}
	switch {
	case s.Epoch == 0:
		return "the node has no view: no core node that has one answers"
	case len(s.Voters)-unresponsive < len(s.Voters)/2+1:
		return "no recent messages from a majority of the core nodes: this status may be outdated"
	case s.Promised:
		return "a view change is in progress"
	case s.Role == RoleApplicant:
		return "the node has no vote yet: the other core nodes have to admit it"
	case s.Role == RoleCatchingUp:
		return "the replica is incomplete: the other core nodes are sending the missing entries"
	case !s.Fresh:
		return "no majority has confirmed recently that the state of the node is current"
	case unresponsive > 0:
		return "some core nodes are unresponsive; a majority continues"
	case s.ConfigVersion == 0:
		return "no configuration has been accepted yet"
	case s.StoresRequired > 0:
		return fmt.Sprintf("more stores are unresponsive than may be lost (%s): bring %d of them back with their disks",
			s.describeUnresponsive(), s.StoresRequired)
	case len(s.FullStores) > 0:
		return "a store rejects new turns (" + strings.Join(s.FullStores, ", ") +
			"): its disk or its ledger memory is nearly full, see its log"
	case s.PlacementJoint && len(s.UnresponsiveStores) > 0:
		return "a placement change is in progress; unresponsive: " + s.describeUnresponsive()
	case s.PlacementJoint:
		return "a placement change is in progress"
	case len(s.UnresponsiveStores) > 0:
		return "a store is unresponsive (" + s.describeUnresponsive() + "); the others continue"
	}
	return "all is well"
}

// describeUnresponsive returns the names of the unresponsive stores, each with the seconds since its last registration.
func (s *Status) describeUnresponsive() string {
	var stores []string
	for _, store := range s.UnresponsiveStores {
		stores = append(stores, fmt.Sprintf("%s for %d s", store.Name, store.SinceRegistrationMs/1000))
	}
	return strings.Join(stores, ", ")
}
