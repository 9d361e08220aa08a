package view

import "slices"

// nextVoters changes the list of voters by one applicant at most. In this order: a machine that came back under another
// identity takes the vote of the one it was; an applicant takes the vote of one that is gone; an applicant that has caught
// up gets a vote of its own.
//
// The first two put a member that is alive in the place of one that can not vote, so they never cost a majority, and need
// not wait until the newcomer has the state. A longer list does cost one: it waits for that, and for those that are silent now.
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
	if i := slices.IndexFunc(voters, func(m Member) bool { return conditions.Failed[m.ID] }); i >= 0 && len(conditions.Applicants) > 0 {
		voters[i] = conditions.Applicants[0]
		return voters, true
	}
	if !CanAdmit(current, conditions) {
		return voters, false
	}
	i := slices.IndexFunc(conditions.Applicants, func(a Member) bool { return conditions.CaughtUp[a.ID] })
	return append(voters, conditions.Applicants[i]), true
}

// CanAdmit tells whether an applicant may get a vote of its own now.
func CanAdmit(current *View, conditions Conditions) bool {
	if slices.ContainsFunc(current.Voters, func(m Member) bool { return conditions.Suspected[m.ID] }) {
		return false
	}
	return slices.ContainsFunc(conditions.Applicants, func(a Member) bool { return conditions.CaughtUp[a.ID] })
}

// CanReplace tells whether an applicant may take the vote of another identity now.
func CanReplace(current *View, conditions Conditions) bool {
	for _, applicant := range conditions.Applicants {
		for _, voter := range current.Voters {
			if conditions.Failed[voter.ID] || voter.Addr == applicant.Addr || voter.Name == applicant.Name && !conditions.Alive[voter.ID] {
				return true
			}
		}
	}
	return false
}

// RemovableVoter is a voter that may lose its vote, empty for none: one that is gone or leaves, while more vote than the losses need.
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
