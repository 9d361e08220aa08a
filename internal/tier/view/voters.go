package view

import "slices"

// nextVoters returns the voters of the next view and whether they differ from the current ones. At most one applicant becomes a
// voter, by the first of these rules that applies: a machine that returned under another identity replaces its former identity; an
// applicant replaces a failed voter; an applicant that has caught up is added.
//
// The first two replace a voter that cannot vote by a live one. They never reduce the number of voters that may fail, and so
// need not wait until the applicant has caught up. Adding a voter may raise the majority, so it waits until the applicant has
// caught up and no voter is suspected.
func nextVoters(current *View, conditions Conditions) (voters []Member, changed bool) {
	voters = slices.Clone(current.Voters)
	for _, applicant := range conditions.Applicants {
		replaces := func(m Member) bool {
			return m.Addr == applicant.Addr || m.Name == applicant.Name && !conditions.Alive[m.ID]
		}
		if i := slices.IndexFunc(voters, replaces); i >= 0 {
			voters[i] = applicant
			return voters, true
		}
	}
	failed := slices.IndexFunc(voters, func(m Member) bool { return conditions.Failed[m.ID] })
	if failed >= 0 && len(conditions.Applicants) > 0 {
		voters[failed] = conditions.Applicants[0]
		return voters, true
	}
	if !CanAdmit(current, conditions) {
		return voters, false
	}
	i := slices.IndexFunc(conditions.Applicants, func(a Member) bool { return conditions.CaughtUp[a.ID] })
	return append(voters, conditions.Applicants[i]), true
}

// CanAdmit reports whether an applicant may be added as a further voter: one has caught up and no voter is suspected.
func CanAdmit(current *View, conditions Conditions) bool {
	if slices.ContainsFunc(current.Voters, func(m Member) bool { return conditions.Suspected[m.ID] }) {
		return false
	}
	return slices.ContainsFunc(conditions.Applicants, func(a Member) bool { return conditions.CaughtUp[a.ID] })
}

// CanReplace reports whether an applicant may replace a voter: a failed one, or the applicant's own former identity.
func CanReplace(current *View, conditions Conditions) bool {
	for _, applicant := range conditions.Applicants {
		for _, voter := range current.Voters {
			if conditions.Failed[voter.ID] || voter.Addr == applicant.Addr ||
				voter.Name == applicant.Name && !conditions.Alive[voter.ID] {
				return true
			}
		}
	}
	return false
}

// RemovableVoter returns the identity of a voter that may be removed without replacement, or "": a failed one, or else a leaving
// one, if there are more voters than FaultTolerance requires.
func RemovableVoter(current *View, conditions Conditions) string {
	if len(current.Voters) <= 2*conditions.FaultTolerance+1 {
		return ""
	}
	for _, candidates := range []map[string]bool{conditions.Failed, conditions.Leaving} {
		for i := len(current.Voters) - 1; i >= 0; i-- {
			if id := current.Voters[i].ID; candidates[id] {
				return id
			}
		}
	}
	return ""
}
