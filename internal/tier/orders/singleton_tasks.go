package orders

import (
	"strconv"
	"strings"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
)

// Keys of the state of singleton duties.
const (
	tokenBaseKey   = "duty/token-base"
	usageKeyPrefix = "duty/usage/"
	usageSlots     = 16 // windows whose records are kept: a window takes the place of the one so many before it
)

// FencingTokenBaseEntry is the value under the key of the token base.
type FencingTokenBaseEntry struct{ Base int64 }

// UsageEntry is the recorded report of a window.
type UsageEntry struct {
	Window int64
	Body   []byte // of the call to the platform, in each repetition
}

// dutyState is the part of the state that belongs to singleton duties.
type taskState struct {
	tokenBase      *FencingTokenBaseEntry // nil if there is none
	tokenBaseIndex int64
	usage          map[string]UsageEntry // by key
	usageIndex     map[string]int64      // by key: index of the entry
}

// usageKey returns the key of a window's record.
func usageKey(window int64) string {
	return usageKeyPrefix + strconv.FormatInt(window%usageSlots, 10)
}

// readDutyEntry decodes an entry of a singleton duty; ok is false for any other entry.
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

// UsageReports returns the recorded reports of windows, in no particular order.
func (s *State) UsageReports() (reports []UsageEntry) {
	for _, entry := range s.tasks.usage {
		reports = append(reports, entry)
	}
	return reports
}

// RecordFencingTokenBase records the number to which the epoch is added in fencing tokens, unless there is one. It is recorded once in the
// life of a control plane: tokens then rise with the epoch, and those of a control plane that is founded later begin above it.
type RecordFencingTokenBase struct{ Base int64 }

func (o RecordFencingTokenBase) decide(state *State) Decision {
	if state.tasks.tokenBase != nil {
		return Decision{Kind: AlreadyApplied, DependsOn: state.tasks.tokenBaseIndex, Reason: "recorded before"}
	}
	entry := FencingTokenBaseEntry(o)
	return Decision{Kind: Accept, Reason: "recorded", Append: []Write{{Key: tokenBaseKey, Value: rpc.Encode(&entry)}}}
}

// RecordUsage records the report of a window. Of several reports of a window the first one is kept: it is what any node sends, so
// that the platform never gets two different ones. Decision.Body is the report in force.
type RecordUsage UsageEntry

func (o RecordUsage) decide(state *State) Decision {
	key := usageKey(o.Window)
	recorded, ok := state.tasks.usage[key]
	decision := Decision{DependsOn: state.tasks.usageIndex[key]}
	switch {
	case ok && recorded.Window == o.Window:
		decision.Kind, decision.Reason, decision.Body = AlreadyApplied, "recorded before", recorded.Body
	case ok && recorded.Window > o.Window:
		decision.Kind, decision.Reason = Conflict, "a later window has its place: it is too late to report this one"
	default:
		entry := UsageEntry(o)
		decision.Kind, decision.Reason, decision.Body = Accept, "recorded", o.Body
		decision.Append = []Write{{Key: key, Value: rpc.Encode(&entry)}}
	}
	return decision
}
