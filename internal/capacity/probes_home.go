package capacity

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/admit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/keep"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/route"
)

var (
	// homeSizes are numbers of prompts at one home, from the average,
	// PromptsPerDaemon, to far above it, so that the range includes the busiest
	// home.
	homeSizes = []int{PromptsPerDaemon, 1_000, 5_000, 16_000}
	// sharedSizes are numbers of teams with a share in one pool, waitingSizes
	// numbers of teams with waiting requests.
	sharedSizes    = []int{10, 1_000, TargetTeams}
	waitingSizes   = []int{10, 400, 4_000}
	candidateSizes = []int{2, 4, 8, 16}
)

const (
	blockBytes = 1 << 20
	poolSlots  = 64
)

// HomeProbes returns the probes of the decisions of prompts' homes and of
// admission.
func HomeProbes() []Probe {
	return []Probe{{
		Role: "home", Name: "kept prompts held", SizeName: "prompts", Unit: UnitBytes,
		Sizes: homeSizes, Target: PromptsPerDaemon, Measure: keepBytes,
	}, {
		Role: "home", Name: "time of one plan", SizeName: "prompts", Unit: UnitNanoseconds,
		Sizes: homeSizes, Target: PromptsPerDaemon, Measure: keepTime,
	}, {
		Role: "entry", Name: "teams that wait in a pool", SizeName: "teams", Unit: UnitBytes,
		Sizes: waitingSizes, Target: 400, Measure: waitingBytes,
	}, {
		Role: "entry", Name: "shares of teams held in the pools of 17 models", SizeName: "teams", Unit: UnitBytes,
		Sizes: sharedSizes, Target: TargetTeams, Measure: sharesBytes,
	}, {
		Role: "entry", Name: "time to offer, grant and end one request", SizeName: "teams with shares", Unit: UnitNanoseconds,
		Sizes: sharedSizes, Target: TargetTeams, Measure: offerTime,
	}, {
		Role: "entry", Name: "time of a routing plan", SizeName: "candidates", Unit: UnitNanoseconds,
		Sizes: candidateSizes, Target: 8, Measure: routeTime,
	}}
}

func homeUse(prompt int) keep.Use {
	use := keep.Use{
		Scope:             prefix.Scope{Team: ident.Team(fmt.Sprint("team-", prompt%100)), Model: "model-00", Version: "v1"},
		Class:             "questions",
		Runner:            "runner-00001",
		RunnerIncarnation: 1,
		RunnerDataCentre:  "centre-0",
		BlockBytes:        blockBytes,
		Saved:             100 * time.Millisecond,
		Blocks:            make([]prefix.BlockID, blocksPerPrompt),
	}
	for i := range use.Blocks {
		binary.LittleEndian.PutUint64(use.Blocks[i][:], uint64(prompt+1)*0x9E3779B97F4A7C15)
		use.Blocks[i][15] = byte(i)
	}
	return use
}

// managerOf returns a manager with this number of prompts, half of whose blocks
// are kept.
func managerOf(prompts int) (*keep.Manager, error) {
	m, err := keep.NewManager(keep.Options{
		MaxPrompts: prompts + 1, MaxBlocks: (prompts + 1) * blocksPerPrompt, MaxCopies: prompts * blocksPerPrompt,
	})
	if err != nil {
		return nil, err
	}
	m.UpdateStore(probeStart, keep.StoreStatus{
		Store: "store-0", Incarnation: 1, DataCentre: "centre-0",
		Capacity:           [prefix.TierCount]int64{1 << 50, 0},
		LinkBytesPerSecond: 1 << 34,
	})
	for p := range prompts {
		use := homeUse(p)
		m.RecordUse(probeStart.Add(time.Minute*time.Duration(p)/time.Duration(prompts)), use)
		for _, block := range use.Blocks[:blocksPerPrompt/2] {
			slot := prefix.Copy{Slot: "slot-000001", Generation: 1, Bytes: blockBytes}
			m.Adopt(probeStart, keep.Source{Block: block, Store: "store-0", Incarnation: 1, Copy: slot})
		}
	}
	if m.Prompts() != prompts {
		return nil, fmt.Errorf("%d of %d prompts are held", m.Prompts(), prompts)
	}
	return m, nil
}

func keepBytes(prompts int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		m, err := managerOf(prompts)
		failed = err
		return m
	})
	return bytes, failed
}

func keepTime(prompts int) (float64, error) {
	m, err := managerOf(prompts)
	if err != nil {
		return 0, err
	}
	random := rand.New(rand.NewPCG(1, 1))
	now := probeStart.Add(time.Minute + keep.DefaultIdleDelay)
	return NanosecondsPerOp(func() {
		now = now.Add(time.Millisecond)
		for _, export := range m.Plan(now, random).Exports {
			for _, planned := range export.Blocks {
				m.Failed(now, planned.ID, keep.FailedRace)
			}
		}
	}), nil
}

func requestID(n int) (id ident.Request) {
	binary.BigEndian.PutUint64(id[:], uint64(n))
	return id
}

func poolOf(running int) *admit.Controller {
	return admit.New(admit.Options{Limit: admit.LimitOptions{Initial: running, Min: running, Max: running}})
}

func offered(n, teams int) admit.Request {
	return admit.Request{
		ID: requestID(n), Team: ident.Team(fmt.Sprintf("team-%06d", n%teams)), Cost: 1000,
		Target: probeStart, Deadline: probeStart.Add(time.Hour),
	}
}

func waitingBytes(teams int) (float64, error) {
	return HeapBytes(func() any {
		c := poolOf(1)
		for i := range teams {
			c.Offer(probeStart, offered(i+1, teams))
		}
		return c
	}), nil
}

func sharesOf(teams int) map[ident.Team]admit.Share {
	shares := make(map[ident.Team]admit.Share, teams)
	for i := range teams {
		shares[ident.Team(fmt.Sprintf("team-%06d", i))] = admit.Share{Guaranteed: 0.5 / float64(teams)}
	}
	return shares
}

func sharesBytes(teams int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		shares := sharesOf(teams)
		pools := make([]*admit.Controller, TargetModels)
		for i := range pools {
			pools[i] = poolOf(poolSlots)
			if err := pools[i].SetShares(shares); err != nil {
				failed = err
			}
		}
		return pools
	})
	return bytes, failed
}

// offerTime measures with 400 requests waiting, spread evenly over the teams.
func offerTime(teams int) (float64, error) {
	c := poolOf(poolSlots)
	if err := c.SetShares(sharesOf(teams)); err != nil {
		return 0, err
	}
	const waiting = 400
	next := 0
	var running []ident.Request
	offer := func() {
		next++
		if verdict, _, _ := c.Offer(probeStart, offered(next, teams)); verdict == admit.Granted {
			running = append(running, requestID(next))
		}
	}
	for range poolSlots + waiting {
		offer()
	}
	if len(running) == 0 {
		return 0, fmt.Errorf("nothing runs among %d teams", teams)
	}
	return NanosecondsPerOp(func() {
		offer()
		c.Done(probeStart, running[0])
		running = running[1:]
		grants, _ := c.Next(probeStart)
		for _, g := range grants {
			running = append(running, g.ID)
		}
	}), nil
}

func routeTime(candidates int) (float64, error) {
	planner, err := route.New(route.Options{})
	if err != nil {
		return 0, err
	}
	req := route.Request{PromptTokens: 32_500, Arrived: probeStart, Target: time.Second}
	for u := range candidates {
		req.Candidates = append(req.Candidates, route.Candidate{
			Upstream: sampleAnnouncement(u).Upstream, Slots: 8, QueuedTokens: int64(u) * 100, CachedTokens: u * 1000,
		})
	}
	for i := range 4 {
		req.Copies = append(req.Copies, route.Copy{
			Store: ident.Upstream(fmt.Sprint("store-", i%2)), From: i * 8000, To: (i + 1) * 8000,
			Bytes: 320 << 20, LinkBytesPerSecond: 3e9,
		})
	}
	random := rand.New(rand.NewPCG(1, 1))
	if _, err := planner.Plan(probeStart, req, random); err != nil {
		return 0, err
	}
	return NanosecondsPerOp(func() { _, _ = planner.Plan(probeStart, req, random) }), nil
}
