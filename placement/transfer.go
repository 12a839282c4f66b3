package placement

// TransferMs returns the time in milliseconds to transfer a part from a store in the same
// data centre at the nominal rate of its link, behind the transfers that are already
// queued.
func TransferMs(p *Prompt, part int, store *Store) float64 {
	if store.LinkMbps <= 0 {
		return 0
	}
	return float64(p.Parts[part].Tokens+store.Queued)*p.tokenMs(store.LinkMbps) + milliseconds(store.FirstByte)
}

// Transfer is the predicted transfer of a part to a runner.
type Transfer struct {
	// WaitMs is the time until the links of both ends are free, Ms the time of the transfer itself.
	WaitMs, Ms float64
	// LinkTokens and SourceTokens are the tokens that the runner's link and that of the source could
	// carry in that time: a transfer occupies both.
	LinkTokens, SourceTokens int
}

// PlanTransfer predicts the transfer of a part from a store to a runner.
func PlanTransfer(rates *Rates, p *Prompt, part int, store *Store, r *Runner) Transfer {
	wait, ms := p.linkMs(rates.CrossFactor, part, store, r)
	t := Transfer{WaitMs: wait, Ms: ms + milliseconds(store.FirstByte)}
	if perToken := p.tokenMs(p.RunnerLinkMbps); perToken > 0 {
		t.LinkTokens = int(ms / perToken)
	}
	if perToken := p.tokenMs(store.LinkMbps); perToken > 0 {
		t.SourceTokens = int(ms / perToken)
	}
	return t
}

// linkMs returns how long in milliseconds a part waits for the links between a store and a runner,
// and how long it occupies them. The slower link determines the rate. A runner transfers one part
// after the other.
func (p *Prompt) linkMs(crossFactor float64, part int, store *Store, r *Runner) (wait, transfer float64) {
	perToken := p.tokenMs(store.LinkMbps)
	wait = perToken * float64(store.Queued)
	if own := p.tokenMs(p.RunnerLinkMbps); own > 0 {
		wait = max(wait, own*float64(r.LinkQueued))
		perToken = max(perToken, own)
	}
	transfer = perToken * float64(p.Parts[part].Tokens)
	if store.DataCentre != r.DataCentre {
		transfer *= crossFactor
	}
	return wait, transfer
}

// tokenMs returns the time in milliseconds that a token occupies a link, 0 if its rate is unknown.
func (p *Prompt) tokenMs(mbps float64) float64 {
	if mbps <= 0 {
		return 0
	}
	return float64(p.TokenBytes) * 8 / (mbps * 1000)
}
