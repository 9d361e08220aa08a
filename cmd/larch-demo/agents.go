package main

import (
	"fmt"
	"slices"

	"larchrouter/internal/tier/tiertest"
)

// agentNames are the names of programs, in the order of their start.
var agentNames = []string{"alder", "birch", "cedar", "elm", "fir", "hazel", "larch", "maple", "oak", "pine", "rowan", "yew"}

// newAgent returns the nth program: it calls tools, starts sub-agents, or loops until its budget is exhausted.
func newAgent(n int) tiertest.Program {
	name := agentNames[n%len(agentNames)]
	if round := n / len(agentNames); round > 0 {
		name = fmt.Sprintf("%s%d", name, round)
	}
	read := []tiertest.Tool{{Path: tiertest.ReadPath, Kind: tiertest.Idempotent}}
	write := []tiertest.Tool{{Path: tiertest.WritePath, Kind: tiertest.NonIdempotent}}
	p := tiertest.Program{Name: name, Budget: 400}
	switch n % 5 {
	case 2:
		subAgent := tiertest.Conversation{Steps: []tiertest.Step{{MaxTokens: 12}}}
		p.Steps = []tiertest.Step{{MaxTokens: 16, SubAgents: []tiertest.Conversation{subAgent, subAgent}}, {MaxTokens: 12}}
	case 4:
		p.Budget, p.Endless, p.Steps = 60, true, []tiertest.Step{{MaxTokens: 20}}
	default:
		p.Steps = []tiertest.Step{{MaxTokens: 20, Tools: slices.Concat(read, write)}, {MaxTokens: 16, Tools: read}, {MaxTokens: 12}}
	}
	return p
}
