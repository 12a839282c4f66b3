package steward

import (
	"slices"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/quorum"
)

type memberAction uint8

const (
	keepMembers memberAction = iota
	addVoter
	addLearner
	removeMember
)

func (a memberAction) String() string {
	return [...]string{"keep", "add-voter", "add-learner", "remove"}[a]
}

type memberPlan struct {
	action memberAction
	host   ident.Host
}

// planMembers returns the next change of membership.
//
// A host whose disk was replaced comes first: its old identity still counts in the quorum
// without being able to vote. Then the group grows to its size. A lost voter is removed only
// when another host is ready to replace it, so that an outage alone never shrinks the group.
func planMembers(detail quorum.Status, candidates, lost []ident.Host, size int) memberPlan {
	voters := hostsOf(detail.Members.Voters)
	learners := hostsOf(detail.Members.Learners)
	for _, p := range detail.Peers {
		if p.Voter && p.PresentedDisk != 0 && slices.Contains(candidates, p.Member.Host) {
			return memberPlan{addVoter, p.Member.Host}
		}
	}
	outside := slices.DeleteFunc(slices.Clone(candidates), func(host ident.Host) bool {
		return slices.Contains(voters, host) || slices.Contains(lost, host)
	})
	if len(voters) < size && len(outside) > 0 {
		return memberPlan{addVoter, outside[0]}
	}
	lostVoter := slices.IndexFunc(voters, func(host ident.Host) bool { return slices.Contains(lost, host) })
	if lostVoter >= 0 && (len(voters) > size || readyLearner(detail, outside)) {
		return memberPlan{removeMember, voters[lostVoter]}
	}
	for _, host := range outside {
		if !slices.Contains(learners, host) && len(learners) < maxLearners {
			return memberPlan{addLearner, host}
		}
	}
	for _, host := range learners {
		if slices.Contains(lost, host) {
			return memberPlan{removeMember, host}
		}
	}
	return memberPlan{}
}

// readyLearner reports whether a learner that requested to join follows the log closely.
func readyLearner(detail quorum.Status, outside []ident.Host) bool {
	for _, p := range detail.Peers {
		if !p.Voter && p.Active && p.PresentedDisk == 0 && p.State == "replicate" && slices.Contains(outside, p.Member.Host) {
			return true
		}
	}
	return false
}

func hostsOf(members []quorum.Member) []ident.Host {
	hosts := make([]ident.Host, len(members))
	for i, m := range members {
		hosts[i] = m.Host
	}
	return hosts
}
