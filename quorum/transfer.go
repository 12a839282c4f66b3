package quorum

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// TransferLeader hands leadership to a voter, or to the most caught-up voter
// when to is empty. Proposals are refused until it is done or given up after
// ElectionMax; Status tells when.
func (n *Node) TransferLeader(now time.Time, to ident.Host) error {
	n.now = now
	if err := n.mayPropose(); err != nil {
		return err
	}
	if to == "" {
		to = n.bestSuccessor()
	}
	p := n.peer(to)
	if p == nil || !p.voter || !p.counts() {
		return ErrInvalidChange
	}
	n.lead.transferTo = to
	n.lead.transferUntil = now.Add(n.opts.ElectionMax)
	n.continueTransfer()
	return nil
}

// bestSuccessor returns the active voter that has synced the most.
func (n *Node) bestSuccessor() ident.Host {
	var best *progress
	for _, p := range n.lead.peers {
		if !p.voter || !p.counts() || !n.active(p) {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.member.Host
}

// continueTransfer asks the successor to campaign once it holds the whole log.
func (n *Node) continueTransfer() {
	if n.lead.transferTo == "" {
		return
	}
	p := n.peer(n.lead.transferTo)
	if p == nil || p.match < n.log.last() {
		return
	}
	n.lead.handedOver = true
	n.sendNow(Message{Type: MsgTimeoutNow}, p.member)
}

func (n *Node) handleTimeoutNow(m Message) {
	if n.role == RoleLeader || !n.mayCampaign() {
		return
	}
	n.campaign.force = true
	n.startCampaign()
}
