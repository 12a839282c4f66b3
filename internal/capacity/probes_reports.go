package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/cell"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/announce"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/upstream"
)

var (
	modelSizes    = []int{1, 2, 4, 17}
	tierSizes     = []int{0, 1, 2}
	eventSizes    = []int{1, 16, 64, 256}
	followedSizes = []int{21, 54, 100, 400}
)

// followedAtTarget is the average number of runners that one daemon follows.
const followedAtTarget = 54

// ownReportEvery and announceEvery are the intervals of the stand-ins: of load
// reports if no entry requests one, and of announcements.
const (
	ownReportEvery = 500 * time.Millisecond
	announceEvery  = time.Second
)

func wireAnnouncement(models int) port.Announcement {
	message := port.Announcement{
		Upstream: "runner-00001", Incarnation: 1_764_700_000, Kind: port.KindEngine, Address: "10.2.10.10:8000",
		DataCentre: "centre-0", LeaseMillis: 3000, ChecksFence: true, Slots: 16, BlockBytes: 1 << 20,
	}
	for i := range models {
		message.Models = append(message.Models, port.LoadedVersion{Model: ident.Model(fmt.Sprintf("model-%02d", i)), Version: "v1"})
	}
	return message
}

func wireReport(tiers int) port.LoadReport {
	report := port.LoadReport{
		Upstream: "runner-00001", Incarnation: 1_764_700_000, MeasuredAt: 1_764_700_000_000, Age: 20,
		Running: 12, Queued: 3, QueuedTokens: 48_000, FreeBlocks: 20_000, LinkBusy: 0.25,
	}
	for range tiers {
		report.Tiers = append(report.Tiers, port.TierStatus{Tier: port.TierMemory, Capacity: 1 << 40, Used: 1 << 39})
	}
	return report
}

func wireEvents(events int) port.CacheEvents {
	batch := port.CacheEvents{Upstream: "runner-00001", Incarnation: 1_764_700_000}
	for i := range events {
		batch.Events = append(batch.Events, port.CacheEvent{
			Sequence: uint64(1_000_000 + i), Kind: port.CacheRemoved, Block: port.BlockID("00112233445566778899aabbccddeeff"),
		})
	}
	return batch
}

// ReportProbes returns the probes of the messages that upstreams send to the
// daemons that follow them.
func ReportProbes() []Probe {
	return []Probe{{
		Role: "cell owner", Name: "one announcement on the wire", SizeName: "loaded versions", Unit: UnitBytes,
		Sizes: modelSizes, Target: 1, Measure: func(n int) (float64, error) {
			return ExchangeBytes(announce.PathAnnouncement, wireAnnouncement(n))
		},
	}, {
		Role: "cell owner", Name: "one load report on the wire", SizeName: "tiers", Unit: UnitBytes,
		Sizes: tierSizes, Target: 0, Measure: func(n int) (float64, error) {
			return ExchangeBytes(announce.PathLoad, wireReport(n))
		},
	}, {
		Role: "cell owner", Name: "one batch of cache events on the wire", SizeName: "events", Unit: UnitBytes,
		Sizes: eventSizes, Target: 16, Measure: func(n int) (float64, error) {
			return ExchangeBytes(announce.PathEvents, wireEvents(n))
		},
	}, {
		Role: "cell owner", Name: "time of an announcement over loopback, both sides", SizeName: "loaded versions", Unit: UnitNanoseconds,
		Sizes: modelSizes, Target: 1, Measure: func(n int) (float64, error) {
			return exchangeTime(announce.PathAnnouncement, wireAnnouncement(n))
		},
	}, {
		Role: "cell owner", Name: "handler time of a load report", SizeName: "tiers", Unit: UnitNanoseconds,
		Sizes: tierSizes, Target: 0, Measure: func(n int) (float64, error) { return handlerTime(announce.PathLoad, wireReport(n)) },
	}, {
		Role: "cell owner", Name: "handler time of an announcement", SizeName: "loaded versions", Unit: UnitNanoseconds,
		Sizes: modelSizes, Target: 1, Measure: func(n int) (float64, error) {
			return handlerTime(announce.PathAnnouncement, wireAnnouncement(n))
		},
	}, {
		Role: "cell owner", Name: "handler time of a batch of cache events", SizeName: "events", Unit: UnitNanoseconds,
		Sizes: eventSizes, Target: 16, Measure: func(n int) (float64, error) { return handlerTime(announce.PathEvents, wireEvents(n)) },
	}, {
		Role: "cell owner", Name: "announcements, one a second", SizeName: "runners followed", Unit: UnitBytesPerSec,
		Sizes: followedSizes, Target: followedAtTarget, Measure: announcementRate,
	}, {
		Role: "cell owner", Name: "load reports at the stand-ins' own interval", SizeName: "runners followed", Unit: UnitBytesPerSec,
		Sizes: followedSizes, Target: followedAtTarget, Measure: func(n int) (float64, error) { return reportRate(n, ownReportEvery) },
	}, {
		Role: "cell owner", Name: "load reports at the prescribed interval", SizeName: "runners followed", Unit: UnitBytesPerSec,
		Sizes: followedSizes, Target: followedAtTarget, Measure: func(n int) (float64, error) {
			return reportRate(n, max(ownReportEvery, upstream.ReportIntervalsFor(n).ReportEvery))
		},
	}, {
		Role: "cell owner", Name: "cells of the busiest owner", SizeName: "daemons", Unit: "cells",
		Sizes: daemonSizes, Target: TargetDaemons, Measure: mostCells,
	}}
}

func handlerTime(path string, message any) (float64, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, err
	}
	return handlingTime(nullSink{}, path, body)
}

func announcementRate(followed int) (float64, error) {
	bytes, err := ExchangeBytes(announce.PathAnnouncement, wireAnnouncement(1))
	return bytes * float64(followed) / announceEvery.Seconds(), err
}

func reportRate(followed int, every time.Duration) (float64, error) {
	bytes, err := ExchangeBytes(announce.PathLoad, wireReport(0))
	return bytes * float64(followed) / every.Seconds(), err
}

// mostCells returns the number of cells of the daemon that owns the most.
func mostCells(daemons int) (float64, error) {
	table := cell.NewTable(cell.Options{})
	var members []cell.Member
	for i := range daemons {
		members = append(members, cell.Member{
			Host:       ident.Host(fmt.Sprintf("entry-%05d", i)),
			DataCentre: ident.DataCentre(fmt.Sprintf("centre-%d", i%TargetDataCentres)),
		})
	}
	if err := table.SetMembers(members); err != nil {
		return 0, err
	}
	owned, most := make(map[ident.Host]int), 0
	for i := range TargetCells {
		for _, host := range table.Owners(sampleSummary(i).Cell) {
			owned[host]++
			most = max(most, owned[host])
		}
	}
	return float64(most), nil
}
