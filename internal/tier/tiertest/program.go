package tiertest

// Program is what a stand-in agent program does: a conversation, with tools and sub-agents between its turns.
type Program struct {
	Name         string
	Key          string // of its tenant, "" for none
	Budget       int    // tokens
	Endless      bool   // repeats its steps until its budget is exhausted
	NumberOffset int    // added to the numbers of attempts and sessions, for a program that goes on under the same name
	Conversation
}

// Conversation is a sequence of turns, each of which continues the one before. It is a session of its own.
type Conversation struct {
	Previous string // attempt id of the turn that the first one continues, "" for none
	Steps    []Step
}

// Step is a turn and what follows it: first tools, all at once, then sub-agents, whose conversations continue the turn in
// parallel.
type Step struct {
	MaxTokens int  // that the turn may generate
	Draft     bool // the turn is a draft: of a route that is not retained, and may be resumed; the conversation goes on without it
	Tools     []Tool
	SubAgents []Conversation
}

// Tool is a call of a tool.
type Tool struct {
	Path string
	Kind string // of the path's route
}
