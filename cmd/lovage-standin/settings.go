package main

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/settings"
	"github.com/lovagereach/lovagereach/internal/standin"
)

// defaultLinger is the default time that a leaving process gives its requests in
// progress to complete.
const defaultLinger = settings.Duration(10 * time.Second)

// Settings are the contents of the settings file.
type Settings struct {
	// Entries lists the announcement addresses of entries that the stand-ins
	// contact first.
	Entries    []settings.Address `yaml:"entries"`
	DataCentre string             `yaml:"data_centre"`
	Reports    ReportSettings     `yaml:"reports"`
	// Linger is how long requests in progress may continue after SIGTERM.
	Linger settings.Duration `yaml:"linger"`
	// RunLog is the path of a file to which each run is appended, so that a
	// check can count runs across the incarnations of a process. If it is
	// empty, runs are not logged.
	RunLog   string            `yaml:"run_log"`
	Weights  *WeightSettings   `yaml:"weights"`
	Engines  []EngineSettings  `yaml:"engines"`
	Stores   []StoreSettings   `yaml:"stores"`
	Services []ServiceSettings `yaml:"services"`
}

// ReportSettings are the intervals and the delay of the stand-ins' reports.
type ReportSettings struct {
	Lease  settings.Duration `yaml:"lease"`
	Load   settings.Duration `yaml:"load"`
	Lag    settings.Duration `yaml:"lag"`
	Events settings.Duration `yaml:"events"`
}

// Common holds the settings that all announced stand-ins share.
type Common struct {
	Name   string           `yaml:"name"`
	Listen settings.Address `yaml:"listen"`
	// DataCentre overrides the data centre of the process.
	DataCentre string `yaml:"data_centre"`
}

// WeightSettings describe the weight store.
type WeightSettings struct {
	Listen         settings.Address  `yaml:"listen"`
	LoadTime       settings.Duration `yaml:"load_time"`
	FullSpeedLoads int               `yaml:"full_speed_loads"`
}

// EngineSettings describe one engine. Rates are per second.
type EngineSettings struct {
	Common         `yaml:",inline"`
	Models         []ModelSettings   `yaml:"models"`
	Slots          int               `yaml:"slots"`
	PrefillTokens  float64           `yaml:"prefill_tokens_per_second"`
	DecodeInterval settings.Duration `yaml:"decode_interval"`
	BlockTokens    int               `yaml:"block_tokens"`
	BlockBytes     settings.Bytes    `yaml:"block_bytes"`
	CacheBlocks    int               `yaml:"cache_blocks"`
	LinkBytes      settings.Bytes    `yaml:"link_bytes_per_second"`
	ChecksFence    bool              `yaml:"checks_fence"`
	Software       string            `yaml:"software"`
	LoadTime       settings.Duration `yaml:"load_time"`
}

// ModelSettings name one loaded version.
type ModelSettings struct {
	Model    string   `yaml:"model"`
	Version  string   `yaml:"version"`
	Adapters []string `yaml:"adapters"`
}

// StoreSettings describe one store host.
type StoreSettings struct {
	Common      `yaml:",inline"`
	MemoryBytes settings.Bytes `yaml:"memory_bytes"`
	DiskBytes   settings.Bytes `yaml:"disk_bytes"`
	LinkBytes   settings.Bytes `yaml:"link_bytes_per_second"`
	DiskRate    settings.Bytes `yaml:"disk_bytes_per_second"`
}

// ServiceSettings describe one replica of a plain service.
type ServiceSettings struct {
	Common  `yaml:",inline"`
	Service string            `yaml:"service"`
	Slots   int               `yaml:"slots"`
	RunTime settings.Duration `yaml:"run_time"`
}

// Check implements settings.Checker.
func (s *Settings) Check(r *settings.Report) {
	r.Require(len(s.Engines)+len(s.Stores)+len(s.Services) > 0, "engines", "nothing to run", "at least one engine, store or service")
	r.Require(s.Linger >= 0, "linger", "is negative", "a duration such as 10s")
	r.NotNegative("reports.lease", int64(s.Reports.Lease))
	r.NotNegative("reports.load", int64(s.Reports.Load))
	r.NotNegative("reports.lag", int64(s.Reports.Lag))
	r.NotNegative("reports.events", int64(s.Reports.Events))
	if s.Weights != nil {
		r.Listen("weights.listen", s.Weights.Listen)
	}
	for i, engine := range s.Engines {
		key := fmt.Sprintf("engines[%d]", i)
		s.checkCommon(r, key, engine.Common)
		r.Require(len(engine.Models) > 0, key+".models", "is missing", "a list of model and version")
		r.Require(engine.Slots >= 0, key+".slots", "is negative", "a number of slots, or 0 for the default")
		r.NotNegative(key+".block_tokens", int64(engine.BlockTokens))
		r.NotNegative(key+".cache_blocks", int64(engine.CacheBlocks))
		r.NotNegative(key+".decode_interval", int64(engine.DecodeInterval))
	}
	for i, store := range s.Stores {
		s.checkCommon(r, fmt.Sprintf("stores[%d]", i), store.Common)
	}
	for i, service := range s.Services {
		key := fmt.Sprintf("services[%d]", i)
		s.checkCommon(r, key, service.Common)
		r.NotEmpty(key+".service", service.Service, "the service's name")
	}
}

func (s *Settings) checkCommon(r *settings.Report, key string, common Common) {
	r.NotEmpty(key+".name", common.Name, "a name no other upstream has")
	r.Listen(key+".listen", common.Listen)
	r.NotEmpty(key+".data_centre", s.dataCentre(common), "a data centre here or for the whole file")
}

func (s *Settings) dataCentre(common Common) string {
	if common.DataCentre != "" {
		return common.DataCentre
	}
	return s.DataCentre
}

func (s *Settings) announce() standin.AnnounceOptions {
	entries := make([]string, len(s.Entries))
	for i, entry := range s.Entries {
		entries[i] = entry.String()
	}
	return standin.AnnounceOptions{
		Entries:     entries,
		Lease:       s.Reports.Lease.Std(),
		LoadEvery:   s.Reports.Load.Std(),
		LoadLag:     s.Reports.Lag.Std(),
		EventsEvery: s.Reports.Events.Std(),
	}
}

func (s *Settings) engineOptions(engine EngineSettings, log *standin.RunLog) standin.EngineOptions {
	models := make([]port.LoadedVersion, len(engine.Models))
	for i, model := range engine.Models {
		models[i] = port.LoadedVersion{Model: ident.Model(model.Model), Version: ident.Version(model.Version)}
		for _, adapter := range model.Adapters {
			models[i].Adapters = append(models[i].Adapters, ident.Adapter(adapter))
		}
	}
	options := standin.EngineOptions{
		Upstream:       ident.Upstream(engine.Name),
		DataCentre:     ident.DataCentre(s.dataCentre(engine.Common)),
		Models:         models,
		Announce:       s.announce(),
		Slots:          engine.Slots,
		PrefillRate:    engine.PrefillTokens,
		DecodeInterval: engine.DecodeInterval.Std(),
		BlockTokens:    engine.BlockTokens,
		BlockBytes:     int64(engine.BlockBytes),
		CacheBlocks:    engine.CacheBlocks,
		LinkRate:       float64(engine.LinkBytes),
		ChecksFence:    engine.ChecksFence,
		Software:       engine.Software,
		LoadTime:       engine.LoadTime.Std(),
		RunLog:         log,
	}
	if s.Weights != nil {
		options.WeightStore = s.Weights.Listen.String()
	}
	return options
}

func (s *Settings) storeOptions(store StoreSettings) standin.StoreOptions {
	return standin.StoreOptions{
		Upstream:    ident.Upstream(store.Name),
		DataCentre:  ident.DataCentre(s.dataCentre(store.Common)),
		Announce:    s.announce(),
		MemoryBytes: int64(store.MemoryBytes),
		DiskBytes:   int64(store.DiskBytes),
		LinkRate:    float64(store.LinkBytes),
		DiskRate:    float64(store.DiskRate),
	}
}

func (s *Settings) serviceOptions(service ServiceSettings, log *standin.RunLog) standin.ServiceOptions {
	return standin.ServiceOptions{
		Upstream:   ident.Upstream(service.Name),
		DataCentre: ident.DataCentre(s.dataCentre(service.Common)),
		Service:    ident.Service(service.Service),
		Announce:   s.announce(),
		Slots:      service.Slots,
		RunTime:    service.RunTime.Std(),
		RunLog:     log,
	}
}
