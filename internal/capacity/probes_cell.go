package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/cell"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/prefix"
	"github.com/lovagereach/lovagereach/upstream"
)

var (
	// cellSizes are numbers of runners in one cell, fleetSizes in all cells
	// together.
	cellSizes  = []int{20, 50, 100, 120}
	fleetSizes = []int{21, 1_200, TargetRunners}
	// promptSizes are numbers of kept prompts in one cell.
	promptSizes = []int{200, 700, 1_400}
)

// blocksPerPrompt is the typical length of a kept prompt in blocks.
const blocksPerPrompt = 12

var probeStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sampleAnnouncement(i int) upstream.Announcement {
	return upstream.Announcement{
		Upstream:    ident.Upstream(fmt.Sprintf("runner-%05d", i)),
		Incarnation: 1,
		Kind:        upstream.Engine,
		Address:     fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
		DataCentre:  ident.DataCentre(fmt.Sprintf("centre-%d", i/RunnersPerCell%TargetDataCentres)),
		Models:      []upstream.Loaded{{Model: "model-00", Version: "v1"}},
		Lease:       time.Hour,
		Slots:       16,
		BlockBytes:  1 << 20,
	}
}

func registryOf(runners int) (*upstream.Registry, error) {
	registry, err := upstream.NewRegistry(upstream.Options{MaxUpstreams: max(runners, 1) + 1})
	if err != nil {
		return nil, err
	}
	for i := range runners {
		if _, err := registry.Announce(probeStart, sampleAnnouncement(i)); err != nil {
			return nil, err
		}
	}
	return registry, nil
}

// CellProbes returns the probes of the cost of a cell for the daemons that own it,
// and of other cells for a daemon.
func CellProbes() []Probe {
	return []Probe{{
		Role: "cell owner", Name: "runners held", SizeName: "runners in the cell", Unit: UnitBytes,
		Sizes: cellSizes, Target: RunnersPerCell, Measure: registryBytes,
	}, {
		Role: "cell owner", Name: "time to take a load report", SizeName: "runners in the cell", Unit: UnitNanoseconds,
		Sizes: cellSizes, Target: RunnersPerCell, Measure: reportTime,
	}, {
		Role: "cell owner", Name: "time to pick candidates", SizeName: "runners known", Unit: UnitNanoseconds,
		Sizes: fleetSizes, Target: TargetRunners, Measure: pickTime,
	}, {
		Role: "cell owner", Name: "directory of blocks held", SizeName: "prompts in the cell", Unit: UnitBytes,
		Sizes: promptSizes, Target: TargetPrompts / TargetCells, Measure: directoryBytes,
	}, {
		Role: "cell owner", Name: "time to find the holders of a prompt", SizeName: "prompts in the cell", Unit: UnitNanoseconds,
		Sizes: promptSizes, Target: TargetPrompts / TargetCells, Measure: longestTime,
	}, {
		Role: "entry", Name: "summaries of other cells held", SizeName: "cells", Unit: UnitBytes,
		Sizes: []int{7, 40, TargetCells}, Target: TargetCells, Measure: summariesBytes,
	}, {
		Role: "entry", Name: "time to pick a cell of a model", SizeName: "cells", Unit: UnitNanoseconds,
		Sizes: []int{7, 40, TargetCells}, Target: TargetCells, Measure: pickCellTime,
	}, {
		Role: "entry", Name: "one summary message", SizeName: "cells", Unit: UnitBytes,
		Sizes: []int{7, 40, TargetCells}, Target: TargetCells, Measure: summaryMessageBytes,
	}}
}

func registryBytes(runners int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		registry, err := registryOf(runners)
		failed = err
		return registry
	})
	return bytes, failed
}

func reportTime(runners int) (float64, error) {
	registry, err := registryOf(runners)
	if err != nil {
		return 0, err
	}
	step := 0
	return NanosecondsPerOp(func() {
		step++
		now := probeStart.Add(time.Duration(step) * time.Millisecond)
		registry.Report(now, upstream.Report{
			Upstream:    sampleAnnouncement(step % runners).Upstream,
			Incarnation: 1,
			MeasuredAt:  now,
			Running:     step % 16,
		})
	}), nil
}

func pickTime(runners int) (float64, error) {
	registry, err := registryOf(runners)
	if err != nil {
		return 0, err
	}
	random := rand.New(rand.NewPCG(1, 1))
	key := upstream.EnginePool(ident.Cell{Model: "model-00", DataCentre: "centre-0"}, "v1", "")
	var out []upstream.Candidate
	if out = registry.Pick(probeStart, random, key, 8, out[:0]); len(out) == 0 {
		return 0, fmt.Errorf("no candidate in %v", key)
	}
	return NanosecondsPerOp(func() { out = registry.Pick(probeStart, random, key, 8, out[:0]) }), nil
}

func chainOf(prompt int) []prefix.BlockID {
	tokens := make([]uint32, blocksPerPrompt*16)
	for i := range tokens {
		tokens[i] = uint32(prompt*31 + i)
	}
	return prefix.Chain(prefix.Key{}, prefix.Scope{Team: "team", Model: "model-00", Version: "v1"}, tokens, 16)
}

func directoryOf(prompts int) (*prefix.Directory, error) {
	directory, err := prefix.NewDirectory(prefix.Options{})
	if err != nil {
		return nil, err
	}
	directory.Follow("store-0", 1)
	directory.Follow("runner-0", 1)
	sequence := uint64(0)
	for p := range prompts {
		batch := prefix.Batch{Upstream: "store-0", Incarnation: 1}
		for _, block := range chainOf(p) {
			sequence++
			slot := prefix.Copy{Slot: fmt.Sprintf("slot-%08d", sequence), Generation: 1, Bytes: 1 << 20, Checksum: sequence}
			batch.Events = append(batch.Events, prefix.Event{Sequence: sequence, Kind: prefix.Stored, Block: block, Copy: &slot})
		}
		directory.Apply(batch)
	}
	return directory, nil
}

func directoryBytes(prompts int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		directory, err := directoryOf(prompts)
		failed = err
		return directory
	})
	return bytes, failed
}

func longestTime(prompts int) (float64, error) {
	directory, err := directoryOf(prompts)
	if err != nil {
		return 0, err
	}
	blocks := chainOf(prompts / 2)
	var out []prefix.Match
	if out = directory.Longest(blocks, out[:0]); len(out) == 0 {
		return 0, fmt.Errorf("no holder of prompt %d", prompts/2)
	}
	return NanosecondsPerOp(func() { out = directory.Longest(blocks, out[:0]) }), nil
}

func sampleSummary(i int) cell.Summary {
	return cell.Summary{
		Cell: ident.Cell{
			Model:      ident.Model(fmt.Sprintf("model-%02d", i%TargetModels)),
			DataCentre: ident.DataCentre(fmt.Sprintf("centre-%d", i/TargetModels)),
		},
		Upstreams:   RunnersPerCell,
		FreeSlots:   300,
		QueueWait:   12345 * time.Microsecond,
		PrefillRate: 20_000,
		LinkBusy:    0.25,
		Sequence:    1_000_000,
		From:        "entry-00001",
	}
}

func summariesOf(cells int) (*cell.Directory, error) {
	directory := cell.NewDirectory()
	for i := range cells {
		if !directory.Put(probeStart, sampleSummary(i)) {
			return nil, fmt.Errorf("summary %d refused", i)
		}
	}
	return directory, nil
}

func summariesBytes(cells int) (float64, error) {
	var failed error
	bytes := HeapBytes(func() any {
		directory, err := summariesOf(cells)
		failed = err
		return directory
	})
	return bytes, failed
}

func pickCellTime(cells int) (float64, error) {
	directory, err := summariesOf(cells)
	if err != nil {
		return 0, err
	}
	random := rand.New(rand.NewPCG(1, 1))
	if _, found := directory.Pick(probeStart, "model-00", random); !found {
		return 0, fmt.Errorf("no cell of model-00 among %d", cells)
	}
	return NanosecondsPerOp(func() { directory.Pick(probeStart, "model-00", random) }), nil
}

func summaryMessageBytes(cells int) (float64, error) {
	data, err := wire.Marshal(sampleSummary(cells - 1))
	return float64(len(data)), err
}
