package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/outcome"
)

// counts holds the entry's metrics.
type counts struct {
	done               *metrics.Counter
	refused            *metrics.Counter
	abandoned          *metrics.Counter
	retries            *metrics.Counter
	resumes            *metrics.Counter
	dropped            *metrics.Counter
	wrongVersion       *metrics.Counter
	promptTokens       *metrics.Counter
	reusedTokens       *metrics.Counter
	firstToken         *metrics.Histogram
	importedBlocks     *metrics.Counter
	importedBytes      *metrics.Counter
	missingBlocks      *metrics.Counter
	importFailures     *metrics.Counter
	exportedBlocks     *metrics.Counter
	exportedBytes      *metrics.Counter
	keepFailures       *metrics.Counter
	keepDropped        *metrics.Counter
	usesDropped        *metrics.Counter
	prefetchedBlocks   *metrics.Counter
	repairs            *metrics.Counter
	repairFailures     *metrics.Counter
	staleReports       *metrics.Counter
	badEvents          *metrics.Counter
	hedges             *metrics.Counter
	lateAnswers        *metrics.Counter
	departuresReceived *metrics.Counter
	upstreamCrashes    *metrics.Counter
	quarantined        *metrics.Counter
	serviceCalls       *metrics.Counter
	repeatedCalls      *metrics.Counter
	outcomes           [outcome.KindUnknown + 1]*metrics.Counter
}

func newCounts(set *metrics.Set) counts {
	c := counts{
		done:               set.NewCounter("lovagereach_entry_prompts_done_total"),
		refused:            set.NewCounter("lovagereach_entry_prompts_refused_total"),
		abandoned:          set.NewCounter("lovagereach_entry_prompts_abandoned_total"),
		retries:            set.NewCounter("lovagereach_entry_retries_total"),
		resumes:            set.NewCounter("lovagereach_entry_streams_resumed_total"),
		dropped:            set.NewCounter("lovagereach_entry_tokens_dropped_total"),
		wrongVersion:       set.NewCounter("lovagereach_entry_wrong_versions_total"),
		promptTokens:       set.NewCounter("lovagereach_entry_prompt_tokens_total"),
		reusedTokens:       set.NewCounter("lovagereach_entry_reused_tokens_total"),
		firstToken:         set.NewHistogram("lovagereach_entry_first_token_seconds"),
		importedBlocks:     set.NewCounter("lovagereach_entry_imported_blocks_total"),
		importedBytes:      set.NewCounter("lovagereach_entry_imported_bytes_total"),
		missingBlocks:      set.NewCounter("lovagereach_entry_missing_blocks_total"),
		importFailures:     set.NewCounter("lovagereach_entry_import_failures_total"),
		exportedBlocks:     set.NewCounter("lovagereach_entry_exported_blocks_total"),
		exportedBytes:      set.NewCounter("lovagereach_entry_exported_bytes_total"),
		keepFailures:       set.NewCounter("lovagereach_entry_keep_failures_total"),
		keepDropped:        set.NewCounter("lovagereach_entry_keep_dropped_total"),
		usesDropped:        set.NewCounter("lovagereach_entry_uses_dropped_total"),
		prefetchedBlocks:   set.NewCounter("lovagereach_entry_prefetched_blocks_total"),
		repairs:            set.NewCounter("lovagereach_entry_snapshots_total"),
		repairFailures:     set.NewCounter("lovagereach_entry_snapshot_failures_total"),
		staleReports:       set.NewCounter("lovagereach_entry_old_reports_total"),
		badEvents:          set.NewCounter("lovagereach_entry_bad_events_total"),
		hedges:             set.NewCounter("lovagereach_entry_hedges_total"),
		lateAnswers:        set.NewCounter("lovagereach_entry_late_answers_total"),
		departuresReceived: set.NewCounter("lovagereach_entry_departures_heard_total"),
		upstreamCrashes:    set.NewCounter("lovagereach_entry_upstream_ends_total"),
		quarantined:        set.NewCounter("lovagereach_entry_held_total"),
		serviceCalls:       set.NewCounter("lovagereach_entry_service_calls_total"),
		repeatedCalls:      set.NewCounter("lovagereach_entry_repeated_calls_total"),
	}
	for kind := outcome.KindDone; kind <= outcome.KindUnknown; kind++ {
		c.outcomes[kind] = set.NewCounter(fmt.Sprintf(`lovagereach_entry_outcomes_total{outcome=%q}`, kind.String()))
	}
	return c
}

// countOutcome counts a finished request under its outcome.
func (c *counts) countOutcome(kind outcome.Kind) {
	if int(kind) < len(c.outcomes) && c.outcomes[kind] != nil {
		c.outcomes[kind].Inc()
	}
}
