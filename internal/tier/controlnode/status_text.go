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
		return "it knows no view: no core node that has one answers it"
	case len(s.Voters)-unresponsive < len(s.Voters)/2+1:
		return "it hears no majority of the core nodes: what it tells may be old"
	case s.Promised:
		return "the view changes"
	case s.Role == RoleApplicant:
		return "it has no vote yet: the others have to take it in"
	case s.Role == RoleCatchingUp:
		return "it is not a copy yet: the others bring it up to date"
	case !s.Fresh:
		return "no majority has confirmed lately that what it has is the newest"
	case unresponsive > 0:
		return "some core nodes are silent; a majority goes on"
	case s.ConfigVersion == 0:
		return "no configuration was taken yet"
	case s.StoresRequired > 0:
		return fmt.Sprintf("more stores are silent than may be lost (%s): bring %d of them back with their disks",
			s.describeUnresponsive(), s.StoresRequired)
	case len(s.FullStores) > 0:
		return "a store opens no turns (" + strings.Join(s.FullStores, ", ") +
			"): its disk, or its memory of ledgers, is nearly full; its log says which"
	case s.PlacementJoint && len(s.UnresponsiveStores) > 0:
		return "the placement of stores changes; silent: " + s.describeUnresponsive()
	case s.PlacementJoint:
		return "the placement of stores changes"
	case len(s.UnresponsiveStores) > 0:
		return "a store is silent (" + s.describeUnresponsive() + "); the others go on"
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
