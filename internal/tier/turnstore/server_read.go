package turnstore

// readHistory gives the history that turns make, from behind the last whose body is not there.
func (s *Server) readHistory(program string, ids []string, missing string) (history []byte, lacks string, got bool) {
	parts := s.readIncrements(program, ids)
	size, from := 0, 0
	for i := len(ids) - 1; i >= 0; i-- {
		if parts[i] == nil {
			missing, from = ids[i], i+1
			break
		}
		size += len(parts[i])
	}
	history = make([]byte, 0, size)
	for _, p := range parts[from:] {
		history = append(history, p...)
	}
	return history, missing, true
}

// readIncrements gives the bytes of turns, nil for those that are gone, and keeps them at hand.
func (s *Server) readIncrements(program string, ids []string) [][]byte {
	parts := make([][]byte, len(ids))
	var keys [][]byte
	var at []int
	for i, id := range ids {
		if b, ok := s.cache.get(id); ok {
			parts[i] = b
		} else {
			keys, at = append(keys, rowKey(program, id)), append(at, i)
		}
	}
	for len(keys) > 0 {
		values, err := s.disk.GetMany(tableBodies, keys, maxReadBytes)
		if err != nil {
			s.logFault("read", err)
			break
		}
		for i, v := range values {
			if parts[at[i]] = v; v != nil {
				s.cache.put(&cachedIncrement{key: program, id: ids[at[i]], bytes: v})
			}
		}
		keys, at = keys[len(values):], at[len(values):]
	}
	return parts
}
