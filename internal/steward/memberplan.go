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

// memberChanges are the hosts that want to join or to leave the group, and the members that are lost.
type memberChanges struct {
	joining, leaving, lost []ident.Host
}

// planMembers returns the next change of membership.
//
// A host whose disk was replaced comes first: its old identity still counts in the quorum
// without being able to vote. Then the group grows to its size. A voter is removed only when
// another host is ready to replace it, so that an outage alone never shrinks the group. One that
// leaves still votes, and is removed after its successor has a vote: the group tolerates as many
// losses at each step as before. A lost one is removed first: its successor may be lost too.
func planMembers(detail quorum.Status, changes memberChanges, size int) memberPlan {
	voters := hostsOf(detail.Members.Voters)
	learners := hostsOf(detail.Members.Learners)
	for _, p := range detail.Peers {
		if p.Voter && p.PresentedDisk != 0 && slices.Contains(changes.joining, p.Member.Host) {
			return memberPlan{addVoter, p.Member.Host}
		}
	}
	outside := slices.DeleteFunc(slices.Clone(changes.joining), func(host ident.Host) bool {
		return slices.Contains(voters, host) || slices.Contains(changes.leaving, host) || slices.Contains(changes.lost, host)
	})
	ready, isReady := readyLearner(detail, outside)
	switch {
	case len(voters) < size && isReady:
		return memberPlan{addVoter, ready}
	case len(voters) < size && len(outside) > 0:
		return memberPlan{addVoter, outside[0]}
	}
	removable := func(of []ident.Host) int {
		return slices.IndexFunc(voters, func(host ident.Host) bool {
			return host != detail.Self && slices.Contains(of, host)
		})
	}
	if leaver := removable(changes.leaving); leaver >= 0 && len(voters) > size {
		return memberPlan{removeMember, voters[leaver]}
	}
	if lost := removable(changes.lost); lost >= 0 && (len(voters) > size || isReady) {
		return memberPlan{removeMember, voters[lost]}
	}
	leaves := func(host ident.Host) bool { return slices.Contains(changes.leaving, host) }
	if isReady && len(voters) == size && slices.ContainsFunc(voters, leaves) {
		return memberPlan{addVoter, ready}
	}
	for _, host := range outside {
		if !slices.Contains(learners, host) && len(learners) < maxLearners {
			return memberPlan{addLearner, host}
		}
	}
	for _, host := range learners {
		if leaves(host) || slices.Contains(changes.lost, host) {
			return memberPlan{removeMember, host}
		}
	}
	return memberPlan{}
}

// readyLearner returns a learner that requested to join and follows the log closely.
func readyLearner(detail quorum.Status, outside []ident.Host) (ident.Host, bool) {
	for _, p := range detail.Peers {
		if !p.Voter && p.Active && p.PresentedDisk == 0 && p.State == "replicate" && slices.Contains(outside, p.Member.Host) {
			return p.Member.Host, true
		}
	}
	return "", false
}

func hostsOf(members []quorum.Member) []ident.Host {
	hosts := make([]ident.Host, len(members))
	for i, m := range members {
		hosts[i] = m.Host
	}
	return hosts
}
