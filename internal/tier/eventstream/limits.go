package eventstream

import "github.com/cockroachdb/errors"

// MaxEventBytes is the largest size of an event with data, with all that comes between it and the event before: comments and events
// without data.
const MaxEventBytes = 1 << 20

// The bounds of a stream. A stream that exceeds one is broken, and its host with it.
var (
	// ErrEventTooLong: more than MaxEventBytes came without the end of an event with data.
	ErrEventTooLong = errors.New("the stream completes no event with data")
	// ErrTooManyEvents: the stream has more events than its request permits.
	ErrTooManyEvents = errors.New("the stream has more events than its request permits")
	// ErrOutputTooLong: the output is longer than what may be kept of it.
	ErrOutputTooLong = errors.New("the output of the stream is too long to be kept")
)

// Memory is what the bytes that are kept of a stream are drawn from. membudget.Account implements it.
type Memory interface {
	// Draw adds bytes; after an error they must not be kept.
	Draw(bytes int64) error
}

// Limits bound what a stream may have, and what is kept of it. The zero value bounds events by MaxEventBytes only.
type Limits struct {
	MaxEvents int    // with data; 0 for any number
	MaxOutput int    // bytes of the output, if it is kept; 0 for any number
	Memory    Memory // nil for no accounting
}

// firstBufferBytes is the capacity of a buffer that holds something.
const firstBufferBytes = 4 << 10

// buffer has bytes that are kept of a stream and drawn from a memory. What a buffer outgrows stays drawn: it is held until the runtime
// has freed it.
type buffer struct {
	memory Memory // nil for none
	bytes  []byte
}

// reserve makes room for more bytes.
func (b *buffer) reserve(more int) error {
	if len(b.bytes)+more <= cap(b.bytes) {
		return nil
	}
	capacity := max(firstBufferBytes, 2*cap(b.bytes), len(b.bytes)+more)
	if b.memory != nil {
		if err := b.memory.Draw(int64(capacity)); err != nil {
			return err
		}
	}
	b.bytes = append(make([]byte, 0, capacity), b.bytes...)
	return nil
}

// append appends bytes.
func (b *buffer) append(more ...byte) error {
	if err := b.reserve(len(more)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, more...)
	return nil
}
