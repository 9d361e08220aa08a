package eventstream

import (
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"larchrouter/internal/membudget"
)

// holderFault is a fault of the holder of a stream's bytes that the checks have to find.
type holderFault int

const (
	noHolderFault holderFault = iota
	outputNotDrawn
	pendingNotDrawn
	releasedTwice
	notReleased
)

// The bounds of the model's streams.
const (
	modelMaxEvents = 40
	modelMaxOutput = 64 << 10
	modelPieces    = 40 // that a host sends
)

// memoryModel is a stream of a drawn host, with the memory that a front gives it.
type memoryModel struct {
	budget  *membudget.Budget
	account *membudget.Account
	splicer *Splicer
	fault   holderFault
}

func newMemoryModel(limit int64, fault holderFault) *memoryModel {
	budget := membudget.New(membudget.Options{Limit: limit, Small: limit})
	m := &memoryModel{budget: budget, account: budget.Open(func() {}), fault: fault}
	m.splicer = NewSplicer("", true, Limits{MaxEvents: modelMaxEvents, MaxOutput: modelMaxOutput, Memory: m.account})
	switch fault {
	case outputNotDrawn:
		m.splicer.parser.output.memory = nil
	case pendingNotDrawn:
		m.splicer.pending.memory = nil
	}
	return m
}

// check returns what is wrong with what is held; empty for nothing.
func (m *memoryModel) check(limit int64) string {
	used, held := m.budget.Usage().Used, int64(cap(m.splicer.pending.bytes)+cap(m.splicer.parser.output.bytes))
	switch {
	case held > used:
		return "more is held than drawn"
	case used > limit:
		return "more is drawn than there is"
	case m.splicer.parser.Count() > modelMaxEvents:
		return "more events than permitted"
	case len(m.splicer.parser.Output()) > modelMaxOutput:
		return "a longer output than permitted"
	}
	return ""
}

// hostPieces are what drawn hosts send.
var hostPieces = []string{"data: x\n", "\n", "id: 1\n", ": comment\n\n", "data: " + strings.Repeat("x", 3000), "\r", "\r\n", "data\n",
	strings.Repeat("data: y\n\n", 12), strings.Repeat("z", 9000), "id: 7\ndata: " + strings.Repeat("v", 20000) + "\n\n", "versions: 3\n"}

// play has a host send pieces until the stream breaks or ends, and returns what is wrong.
func (m *memoryModel) play(limit int64, pieces []int) string {
	for _, i := range pieces {
		_, err := m.splicer.Write([]byte(hostPieces[i]))
		if wrong := m.check(limit); wrong != "" {
			return wrong
		}
		if err != nil {
			break
		}
	}
	if m.fault != notReleased {
		m.account.Release()
	}
	if m.fault == releasedTwice {
		m.account.Release()
	}
	if usage := m.budget.Usage(); usage.Used != 0 || usage.Accounts != 0 {
		return "what is drawn at the end is not nothing"
	}
	return ""
}

// All that a stream keeps is drawn from the budget, whatever its host sends and however little there is, and given back once.
func TestDrawnHostsKeepWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 400<<10).Draw(t, "limit")
		pieces := rapid.SliceOfN(rapid.IntRange(0, len(hostPieces)-1), modelPieces, modelPieces).Draw(t, "pieces")
		if wrong := newMemoryModel(limit, noHolderFault).play(limit, pieces); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

func TestDrawnHostsFindPlantedFaults(t *testing.T) {
	for name, fault := range map[string]holderFault{"the output is not drawn": outputNotDrawn, "what is held back is not drawn": pendingNotDrawn,
		"released twice": releasedTwice, "not released": notReleased} {
		found := ""
		for seed := uint64(1); seed <= 200 && found == ""; seed++ {
			random := rand.New(rand.NewPCG(seed, 3))
			pieces := make([]int, modelPieces)
			for i := range pieces {
				pieces[i] = random.IntN(len(hostPieces))
			}
			limit := 1 + random.Int64N(400<<10)
			found = newMemoryModel(limit, fault).play(limit, pieces)
		}
		if found == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
