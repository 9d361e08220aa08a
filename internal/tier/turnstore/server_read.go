package turnstore

import (
	"context"

	"larchrouter/internal/rpc"
)

const (
	// CopiesOfCall is how many bytes a call makes a store hold for each byte of a long body: the frame, what is decoded from it, and the
	// rows for the disk.
	CopiesOfCall = 3

	// copiesOfHistory is the same for each byte of a history that is read: the increments, the history, and the response.
	copiesOfHistory = 3
)

// readHistory returns the history made up by the increments of turns, oldest first. Where the body of a turn is missing, it
// begins after the last such turn, which is returned as missing; else the given one is. It returns an error if the memory for calls
// is exhausted.
func (s *Server) readHistory(ctx context.Context, program string, ids []string, missing string) (
	history []byte, missingTurn string, err error) {
	increments, err := s.readIncrements(ctx, program, ids)
	if err != nil {
		return nil, "", err
	}
	size, from := 0, 0
	for i := len(ids) - 1; i >= 0; i-- {
		if increments[i] == nil {
			missing, from = ids[i], i+1
			break
		}
		size += len(increments[i])
	}
	history = make([]byte, 0, size)
	for _, increment := range increments[from:] {
		history = append(history, increment...)
	}
	return history, missing, nil
}

// readIncrements returns the increments of turns, nil for those that have none on disk, and caches them.
func (s *Server) readIncrements(ctx context.Context, program string, ids []string) ([][]byte, error) {
	increments := make([][]byte, len(ids))
	var keys [][]byte   // of rows to read from disk
	var positions []int // of the keys in ids
	for i, id := range ids {
		if b, ok := s.cache.get(id); ok {
			if err := rpc.Draw(ctx, copiesOfHistory*len(b)); err != nil {
				return nil, err
			}
			increments[i] = b
		} else {
			keys, positions = append(keys, rowKey(program, id)), append(positions, i)
		}
	}
	for len(keys) > 0 {
		values, err := s.disk.GetMany(tableBodies, keys, maxReadBytes)
		if err != nil {
			s.logFault("read", err)
			break
		}
		for i, v := range values {
			if err := rpc.Draw(ctx, copiesOfHistory*len(v)); err != nil {
				return nil, err
			}
			if increments[positions[i]] = v; v != nil {
				s.cache.put(&cachedIncrement{key: program, id: ids[positions[i]], bytes: v})
			}
		}
		keys, positions = keys[len(values):], positions[len(values):]
	}
	return increments, nil
}
