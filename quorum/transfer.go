package quorum

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// TransferLeader transfers leadership to the given voter, or to the most
// caught-up voter if to is empty. Proposals are rejected until the transfer
// completes or is abandoned after ElectionMax; Status.Transferring shows
// whether it is in progress.
func (n *Node) TransferLeader(now time.Time, to ident.Host) error {
	n.now = now
	if err := n.mayPropose(); err != nil {
		return err
	}
	if to == "" {
		to = n.bestSuccessor()
	}
	p := n.peer(to)
	if p == nil || !p.voter || !p.eligible() {
		return ErrInvalidChange
	}
	n.lead.transferTo = to
	n.lead.transferDeadline = now.Add(n.opts.ElectionMax)
	n.continueTransfer()
	return nil
}

// bestSuccessor returns the active voter with the highest synced index, or ""
// if there is none.
func (n *Node) bestSuccessor() ident.Host {
	var best *progress
	for _, p := range n.lead.peers {
		if !p.voter || !p.eligible() || !n.active(p) {
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

// continueTransfer instructs the successor to start an election once it has
// synced the whole log.
func (n *Node) continueTransfer() {
	if n.lead.transferTo == "" {
		return
	}
	p := n.peer(n.lead.transferTo)
	if p == nil || p.match < n.log.last() {
		return
	}
	n.lead.timeoutNowSent = true
	n.sendImmediate(Message{Type: MsgTimeoutNow}, p.member)
}

func (n *Node) handleTimeoutNow(m Message) {
	if n.role == RoleLeader || !n.mayCampaign() {
		return
	}
	n.campaign.force = true
	n.startCampaign()
}
