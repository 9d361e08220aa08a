package journal

// releaseSpare removes the spare file, and reports whether that released space.
func (j *Journal) releaseSpare() bool {
	if j.spare == nil {
		return false
	}
	j.spare.Close()
	j.spare = nil
	return j.dir.Remove(spareName) == nil
}

// allocateSpare allocates the spare file if it is missing, and reports whether it exists now.
func (j *Journal) allocateSpare() bool {
	if j.spare != nil {
		return true
	}
	if j.dir.Available() < j.limits.Spare { // cheap: called for each new message on a full disk
		return false
	}
	if j.dir.Remove(spareName) != nil { // possibly left by an earlier attempt
		return false
	}
	f, err := j.dir.Create(spareName)
	if err != nil {
		return false
	}
	if err = f.Allocate(j.limits.Spare); err != nil {
		f.Close()
		j.dir.Remove(spareName)
		return false
	}
	j.spare = f
	return true
}
