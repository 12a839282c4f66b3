package gateway

// LoadOptions switches on decisions for deployments under hard load. The zero value serves without
// them.
type LoadOptions struct {
	// TeamShares orders waiting requests by their teams' shares and by whether they can still be in
	// time.
	TeamShares bool
	// TeamWeights are the weights of the teams' shares; a team without one has weight 1.
	TeamWeights map[string]float64
	// ExpectOthers makes choices account for the work that the other entries send before it is
	// reported.
	ExpectOthers bool
	// UnevenUpstreams makes choices account for upstreams whose machines are slow at the moment, and
	// for the output that callers expect.
	UnevenUpstreams bool
	// ShareParts makes choices account for the parts of prompts that runners are reading at the
	// moment, and for the transfers from stores that have ended.
	ShareParts bool
	// RunnerLinks makes choices account for the rate of the runners' links and for the transfers that
	// occupy them. It has an effect with ShareParts only.
	RunnerLinks bool
	// CopyMbps bounds the transfers of shared parts that are copied before they are lost, in Mbit/s
	// over all entries; 0 copies none.
	CopyMbps float64
	// Handover makes entries report what they have learned, and those that start begin with it.
	Handover bool
}
