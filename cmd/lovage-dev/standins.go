package main

import (
	"fmt"
	"net"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
)

// Sizes of the stand-ins. They are small enough for a laptop. At these rates
// recomputing a prompt takes a hundred times as long as fetching it, so that the
// choice between the two does not depend on the load of the laptop.
const (
	engineCount = 3
	storeCount  = 2
	engineSlots = 4
	cacheBlocks = 64 // capacity of one engine's cache
	blockBytes  = 64 << 10
	prefillRate = 10_000   // tokens a second
	linkRate    = 64 << 20 // bytes a second
)

// standins holds the stand-ins of the deployment.
type standins struct {
	engines  []*standin.Engine
	stores   []*standin.Store
	service  *standin.Service
	all      []standin.Upstream
	kinds    []string
	listener []net.Listener
}

// newStandins creates the stand-ins, which announce themselves to the given address
// and to the addresses in its answers.
func newStandins(announceTo string) (*standins, error) {
	announce := standin.AnnounceOptions{
		Entries:     []string{announceTo},
		Lease:       2 * time.Second,
		LoadEvery:   100 * time.Millisecond,
		EventsEvery: 50 * time.Millisecond,
	}
	s := &standins{}
	for i := range engineCount {
		engine := standin.NewEngine(standin.EngineOptions{
			Upstream:       ident.Upstream(fmt.Sprintf("runner-%d", i+1)),
			DataCentre:     dataCentres[i%len(dataCentres)],
			Models:         []port.LoadedVersion{{Model: modelName, Version: modelVersion}},
			Announce:       announce,
			Slots:          engineSlots,
			PrefillRate:    prefillRate,
			DecodeInterval: 2 * time.Millisecond,
			BlockTokens:    blockTokens,
			BlockBytes:     blockBytes,
			CacheBlocks:    cacheBlocks,
			LinkRate:       linkRate,
		})
		s.engines = append(s.engines, engine)
		s.add("engine", engine)
	}
	for i := range storeCount {
		store := standin.NewStore(standin.StoreOptions{
			Upstream:   ident.Upstream(fmt.Sprintf("store-%d", i+1)),
			DataCentre: dataCentres[i%len(dataCentres)],
			Announce:   announce,
			LinkRate:   linkRate,
		})
		s.stores = append(s.stores, store)
		s.add("store", store)
	}
	s.service = standin.NewService(standin.ServiceOptions{
		Upstream:   "clock-app-1",
		DataCentre: dataCentres[0],
		Service:    serviceName,
		Announce:   announce,
	})
	s.add("service", s.service)
	for range s.all {
		listener, err := listen(0)
		if err != nil {
			return nil, err
		}
		s.listener = append(s.listener, listener)
	}
	return s, nil
}

func (s *standins) add(kind string, upstream standin.Upstream) {
	s.all = append(s.all, upstream)
	s.kinds = append(s.kinds, kind)
}
