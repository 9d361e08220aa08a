package hostile

import "time"

// What the settings of the tiers under test grant each process. The bounds of the tests are these limits themselves.
const (
	memoryMB     = 96
	maxFDs       = 1200
	fewFDs       = 300 // of the tests in which connections run out
	maxBodyBytes = 1 << 20
	maxHeadBytes = 16 << 10
	longHead     = 256 << 10 // max_header_bytes of the test of heads without an end

	// idleTimeout is idle_timeout_ms: no idle connection of a crowd ends by itself during a test.
	idleTimeout = 120 * time.Second
)

// settleTime is the time for which a client that comes again waits to be refused, before it stays.
const settleTime = 2 * time.Second

// The crowds.
const (
	bodyCrowd      = 240      // clients that send bodies to a front
	trickleChunk   = 32 << 10 // bytes of each chunk of a body that comes slowly
	trickleEvery   = 80 * time.Millisecond
	tinyChunkBody  = 512 << 10 // bytes of a body in chunks of one byte
	oversizedBody  = 6 << 20   // bytes of a body that is over maxBodyBytes
	trailerBytes   = 3 << 10   // of a trailer that does not end
	unreadResponse = 4 << 20   // bytes of a response that nobody reads
	headCrowd      = 400
	returningTries = 6   // times that a client of a crowd that comes again sends its body
	smallCrowd     = 560 // clients that send small bodies to a front
	smallBody      = 60 << 10
	idleCrowd      = 600 // twice fewFDs
	readyCrowd     = 600
	pipelinedCount = 200 // requests on each connection of a crowd that pipelines

	configBody       = 2 << 20 // bytes of a configuration of a crowd
	configCrowd      = 120
	smallConfigBody  = 400 << 10
	smallConfigCrowd = 280
	hugeConfigBody   = 24 << 20
	hugeConfigs      = 12
	coreIdleCrowd    = 600

	frameBytes = 24 << 20 // of a frame between processes, sent but for its last byte
	frameCrowd = 12

	turnCrowd      = 60 // conversations
	turnInput      = 512 << 10
	turnsInHistory = 6
)
