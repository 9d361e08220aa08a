package orders

import (
	"strconv"
	"strings"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
)

// Keys of the state of singleton tasks.
const (
	tokenBaseKey   = "duty/token-base"
	usageKeyPrefix = "duty/usage/"
	usageSlots     = 16 // number of windows whose records are kept: a window overwrites the one usageSlots before it
)

// FencingTokenBaseEntry is the value stored under tokenBaseKey.
type FencingTokenBaseEntry struct{ Base int64 }

// UsageEntry is the recorded usage report of a time window.
type UsageEntry struct {
	Window int64
	Body   []byte // body of the call to the platform, the same in each retry
}

// taskState is the state of singleton tasks.
type taskState struct {
	tokenBase      *FencingTokenBaseEntry // nil if there is none
	tokenBaseIndex int64                  // index of its entry
	usage          map[string]UsageEntry  // by key
	usageIndex     map[string]int64       // index of the entry by key
}

// usageKey returns the key under which the report of a window is recorded.
func usageKey(window int64) string {
	return usageKeyPrefix + strconv.FormatInt(window%usageSlots, 10)
}

// readTaskEntry decodes an entry of a singleton task; ok is false for any other entry.
func (s *State) readTaskEntry(key string, e chain.Entry) (ok bool, err error) {
	switch {
	case key == tokenBaseKey:
		s.tasks.tokenBase, s.tasks.tokenBaseIndex = new(FencingTokenBaseEntry), e.Index
		return true, rpc.Decode(e.Value, s.tasks.tokenBase)
	case strings.HasPrefix(key, usageKeyPrefix):
		var entry UsageEntry
		if err := rpc.Decode(e.Value, &entry); err != nil {
			return true, err
		}
		if s.tasks.usage == nil {
			s.tasks.usage, s.tasks.usageIndex = map[string]UsageEntry{}, map[string]int64{}
		}
		s.tasks.usage[key], s.tasks.usageIndex[key] = entry, e.Index
		return true, nil
	}
	return false, nil
}

// FencingTokenBase returns the number to which the epoch is added in fencing tokens; ok is false if none is recorded.
func (s *State) FencingTokenBase() (base int64, ok bool) {
	if s.tasks.tokenBase == nil {
		return 0, false
	}
	return s.tasks.tokenBase.Base, true
}

// UsageReports returns the recorded usage reports, in no particular order.
func (s *State) UsageReports() (reports []UsageEntry) {
	for _, entry := range s.tasks.usage {
		reports = append(reports, entry)
	}
	return reports
}

// RecordFencingTokenBase is the order to record the number to which the epoch is added in fencing tokens, unless one is
// recorded already. It is recorded once in the life of a control plane: its tokens then rise with the epoch, and those of a
// control plane that is created later begin above them.
type RecordFencingTokenBase struct{ Base int64 }

func (o RecordFencingTokenBase) decide(state *State) Decision {
	if state.tasks.tokenBase != nil {
		return Decision{Kind: AlreadyApplied, DependsOn: state.tasks.tokenBaseIndex, Reason: "already recorded"}
	}
	entry := FencingTokenBaseEntry(o)
	return Decision{Kind: Accept, Reason: "recorded", Append: []Write{{Key: tokenBaseKey, Value: rpc.Encode(&entry)}}}
}

// RecordUsage is the order to record the usage report of a window. Of several reports of a window the first one is kept:
// every node sends that one, so that the platform never receives two different reports. Decision.Body is the kept report.
type RecordUsage UsageEntry

func (o RecordUsage) decide(state *State) Decision {
	key := usageKey(o.Window)
	recorded, ok := state.tasks.usage[key]
	decision := Decision{DependsOn: state.tasks.usageIndex[key]}
	switch {
	case ok && recorded.Window == o.Window:
		decision.Kind, decision.Reason, decision.Body = AlreadyApplied, "already recorded", recorded.Body
	case ok && recorded.Window > o.Window:
		decision.Kind, decision.Reason = Conflict, "too late: the record of a later window has overwritten that of this one"
	default:
		entry := UsageEntry(o)
		decision.Kind, decision.Reason, decision.Body = Accept, "recorded", o.Body
		decision.Append = []Write{{Key: key, Value: rpc.Encode(&entry)}}
	}
	return decision
}
