package quorum

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxMembers is the maximum number of voters and learners in a group.
const MaxMembers = 32

// find returns the member on the given host.
func (m *Membership) find(host ident.Host) (member Member, voter, ok bool) {
	if i := indexOf(m.Voters, host); i >= 0 {
		return m.Voters[i], true, true
	}
	if i := indexOf(m.Learners, host); i >= 0 {
		return m.Learners[i], false, true
	}
	return Member{}, false, false
}

// isVoter reports whether host is a voter with exactly this disk.
func (m *Membership) isVoter(host ident.Host, disk DiskID) bool {
	return slices.Contains(m.Voters, Member{host, disk})
}

// quorum returns the number of voters in a majority.
func (m *Membership) quorum() int { return len(m.Voters)/2 + 1 }

// valid reports whether m has a voter, at most MaxMembers members, and no
// incomplete or duplicate member.
func (m *Membership) valid() bool {
	count := len(m.Voters) + len(m.Learners)
	if len(m.Voters) == 0 || count > MaxMembers {
		return false
	}
	seen := make(map[ident.Host]bool, count)
	for _, list := range [][]Member{m.Voters, m.Learners} {
		for _, member := range list {
			if member.Host == "" || member.Disk == 0 || seen[member.Host] {
				return false
			}
			seen[member.Host] = true
		}
	}
	return true
}

// apply returns the membership that results from one change.
func (m *Membership) apply(c MemberChange) (Membership, error) {
	next := Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
	_, voter, member := m.find(c.Host)
	switch c.Kind {
	case AddLearner:
		if member || c.Host == "" || c.Disk == 0 || len(m.Voters)+len(m.Learners) >= MaxMembers {
			return next, fmt.Errorf("%w: can't add learner %q with disk %x", ErrInvalidChange, c.Host, c.Disk)
		}
		next.Learners = insertMember(next.Learners, Member{c.Host, c.Disk})
	case Promote:
		if !member || voter {
			return next, fmt.Errorf("%w: %q is not a learner", ErrInvalidChange, c.Host)
		}
		i := indexOf(next.Learners, c.Host)
		next.Voters = insertMember(next.Voters, next.Learners[i])
		next.Learners = slices.Delete(next.Learners, i, i+1)
	case Remove:
		if !member || voter && len(m.Voters) == 1 {
			return next, fmt.Errorf("%w: can't remove %q", ErrInvalidChange, c.Host)
		}
		same := func(x Member) bool { return x.Host == c.Host }
		next.Voters = slices.DeleteFunc(next.Voters, same)
		next.Learners = slices.DeleteFunc(next.Learners, same)
	default:
		return next, fmt.Errorf("%w: unknown change %d", ErrInvalidChange, c.Kind)
	}
	return next, nil
}

func indexOf(list []Member, host ident.Host) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Host == host })
}

func insertMember(list []Member, m Member) []Member {
	list = append(list, m)
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return list
}
