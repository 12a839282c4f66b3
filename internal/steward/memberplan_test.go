package steward

import (
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/quorum"
)

func TestPlanMembers(t *testing.T) {
	group := func(voters, learners []ident.Host, peers ...quorum.PeerStatus) quorum.Status {
		var s quorum.Status
		for _, v := range voters {
			s.Members.Voters = append(s.Members.Voters, quorum.Member{Host: v, Disk: 1})
		}
		for _, l := range learners {
			s.Members.Learners = append(s.Members.Learners, quorum.Member{Host: l, Disk: 1})
		}
		s.Peers = peers
		return s
	}
	ready := quorum.PeerStatus{Member: quorum.Member{Host: "d"}, State: "replicate", Active: true}
	three, hosts := []ident.Host{"a", "b", "c"}, func(h ...ident.Host) []ident.Host { return h }
	cases := []struct {
		name             string
		detail           quorum.Status
		candidates, lost []ident.Host
		want             memberPlan
	}{
		{"complete", group(three, nil), nil, nil, memberPlan{}},
		{"too few", group(hosts("a"), nil), hosts("b", "c"), nil, memberPlan{addVoter, "b"}},
		{"an outage alone", group(three, nil), nil, hosts("c"), memberPlan{}},
		{"a spare host", group(three, nil), hosts("d"), nil, memberPlan{addLearner, "d"}},
		{"a spare host that lags replaces no voter", group(three, hosts("d")), hosts("d"), hosts("c"), memberPlan{}},
		{"a spare host replaces a lost one", group(three, hosts("d"), ready), hosts("d"), hosts("c"), memberPlan{removeMember, "c"}},
		{"and votes then", group(hosts("a", "b"), hosts("d"), ready), hosts("d"), nil, memberPlan{addVoter, "d"}},
		{"too many, one lost", group(hosts("a", "b", "c", "d"), nil), nil, hosts("c"), memberPlan{removeMember, "c"}},
		{"a wiped disk", group(three, nil, quorum.PeerStatus{Member: quorum.Member{Host: "b"}, Voter: true, PresentedDisk: 9}), hosts("b"), nil, memberPlan{addVoter, "b"}},
		{"a lost host that requested to join before it was lost", group(hosts("a", "b"), nil), hosts("c"), hosts("c"), memberPlan{}},
		{"a lost learner", group(three, hosts("d")), nil, hosts("d"), memberPlan{removeMember, "d"}},
	}
	for _, c := range cases {
		if got := planMembers(c.detail, c.candidates, c.lost, 3); got != c.want {
			t.Errorf("%s: %v %s, want %v %s", c.name, got.action, got.host, c.want.action, c.want.host)
		}
	}
}
