package main

import (
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/loadgen"
	"github.com/lovagereach/lovagereach/internal/settings"
)

// Settings are the contents of the settings file of the run command.
type Settings struct {
	Entries  []settings.Address `yaml:"entries"`
	Standins []settings.Address `yaml:"standins"`
	// RunLog is the path of the stand-ins' run log. It is needed if they are
	// restarted during the run.
	RunLog string `yaml:"run_log"`
	// Audit names the control hosts whose audit is searched for prompts without
	// a received outcome; without it they aren't searched for.
	Audit       *AuditSettings    `yaml:"audit"`
	Duration    settings.Duration `yaml:"duration"`
	MaxRequests int               `yaml:"max_requests"`
	MaxOpen     int               `yaml:"max_open"`
	Timeout     settings.Duration `yaml:"timeout"`
	Seed        uint64            `yaml:"seed"`
	// Fresh indicates that the deployment has never received prompts of this
	// seed.
	Fresh   bool             `yaml:"fresh"`
	Prompts []PromptSettings `yaml:"prompts"`
	Calls   []CallSettings   `yaml:"calls"`
	// CSV and JSON are the paths to which the report is written.
	CSV  string `yaml:"csv"`
	JSON string `yaml:"json"`
}

// AuditSettings are the addresses and the token for queries to the control hosts.
type AuditSettings struct {
	// Servers are URLs of operators' listeners.
	Servers   []string `yaml:"servers"`
	TokenFile string   `yaml:"token_file"`
}

// PromptSettings describe one stream of prompts.
type PromptSettings struct {
	Team           string  `yaml:"team"`
	Token          string  `yaml:"token"`
	Class          string  `yaml:"class"`
	Model          string  `yaml:"model"`
	Rate           float64 `yaml:"rate_per_second"`
	Kept           int     `yaml:"kept_prompts"`
	KeptTokens     int     `yaml:"kept_tokens"`
	QuestionTokens int     `yaml:"question_tokens"`
	AnswerTokens   int     `yaml:"answer_tokens"`
}

// CallSettings describe one stream of calls.
type CallSettings struct {
	Team       string  `yaml:"team"`
	Token      string  `yaml:"token"`
	Service    string  `yaml:"service"`
	Path       string  `yaml:"path"`
	Rate       float64 `yaml:"rate_per_second"`
	Repeatable bool    `yaml:"repeatable"`
	Resend     float64 `yaml:"resend"`
	MaxResends int     `yaml:"max_resends"`
}

const (
	defaultDuration    = settings.Duration(10 * time.Second)
	defaultMaxRequests = 100_000
)

func defaults() *Settings {
	return &Settings{
		Duration:    defaultDuration,
		MaxRequests: defaultMaxRequests,
		MaxOpen:     loadgen.DefaultMaxOpen,
		Timeout:     settings.Duration(loadgen.DefaultTimeout),
		Seed:        1,
	}
}

func flags(f *flag.FlagSet, s *Settings) {
	f.Var(&s.Duration, "duration", "how long to begin requests")
	f.IntVar(&s.MaxRequests, "max-requests", s.MaxRequests, "bound on the number of requests")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "fixes arrivals, prompts and keys")
	f.Func("entries", "callers' addresses, parted by commas", func(text string) error {
		return setAddresses(&s.Entries, text)
	})
	f.BoolVar(&s.Fresh, "fresh", s.Fresh, "the deployment has never seen prompts of this seed: check that no team meets another's")
	f.StringVar(&s.CSV, "csv", s.CSV, "write the report as CSV to this `file`")
	f.StringVar(&s.JSON, "json", s.JSON, "write the report as JSON to this `file`")
}

func setAddresses(into *[]settings.Address, text string) error {
	var addresses []settings.Address
	for part := range strings.SplitSeq(text, ",") {
		var address settings.Address
		if err := address.Set(part); err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	*into = addresses
	return nil
}

// Check implements settings.Checker.
func (s *Settings) Check(r *settings.Report) {
	r.Require(len(s.Entries) > 0, "entries", "is missing", "at least one callers' address of an entry")
	r.Positive("duration", int64(s.Duration))
	r.Positive("max_requests", int64(s.MaxRequests))
	r.Require(len(s.Prompts)+len(s.Calls) > 0, "prompts", "no load given", "at least one of prompts or calls")
	if s.Audit != nil {
		r.Require(len(s.Audit.Servers) > 0, "audit.servers", "is missing", "URLs of the control hosts' operators' listeners")
		r.NotEmpty("audit.token_file", s.Audit.TokenFile, "a file with an operator's token")
	}
	for i, p := range s.Prompts {
		key := fmt.Sprintf("prompts[%d]", i)
		r.NotEmpty(key+".token", p.Token, "the team's bearer token")
		r.NotEmpty(key+".model", p.Model, "a model's name")
		r.Require(p.Rate > 0, key+".rate_per_second", "is not above zero", "a rate such as 20")
		r.Positive(key+".kept_prompts", int64(p.Kept))
		r.Positive(key+".kept_tokens", int64(p.KeptTokens))
		r.Positive(key+".question_tokens", int64(p.QuestionTokens))
		r.Positive(key+".answer_tokens", int64(p.AnswerTokens))
	}
	for i, c := range s.Calls {
		key := fmt.Sprintf("calls[%d]", i)
		r.NotEmpty(key+".token", c.Token, "the team's bearer token")
		r.NotEmpty(key+".service", c.Service, "a service's name")
		r.Require(c.Rate > 0, key+".rate_per_second", "is not above zero", "a rate such as 20")
		r.Require(c.Resend >= 0 && c.Resend <= 1, key+".resend", "is not a share", "a number from 0 to 1")
		r.Require(c.MaxResends >= 0, key+".max_resends", "is negative", "a number of sends")
	}
}

func (s *Settings) options() loadgen.Options {
	options := loadgen.Options{
		Entries:     addressTexts(s.Entries),
		Standins:    addressTexts(s.Standins),
		RunLog:      s.RunLog,
		Duration:    s.Duration.Std(),
		MaxRequests: s.MaxRequests,
		MaxOpen:     s.MaxOpen,
		Timeout:     s.Timeout.Std(),
		Seed:        s.Seed,
		Fresh:       s.Fresh,
	}
	for _, p := range s.Prompts {
		options.Prompts = append(options.Prompts, loadgen.PromptLoad{
			Team:           ident.Team(p.Team),
			Token:          p.Token,
			Class:          ident.Class(p.Class),
			Model:          ident.Model(p.Model),
			Rate:           p.Rate,
			Kept:           p.Kept,
			KeptTokens:     p.KeptTokens,
			QuestionTokens: p.QuestionTokens,
			AnswerTokens:   p.AnswerTokens,
		})
	}
	for _, c := range s.Calls {
		options.Calls = append(options.Calls, loadgen.CallLoad{
			Team:       ident.Team(c.Team),
			Token:      c.Token,
			Service:    ident.Service(c.Service),
			Path:       c.Path,
			Rate:       c.Rate,
			Repeatable: c.Repeatable,
			Resend:     c.Resend,
			MaxResends: c.MaxResends,
		})
	}
	return options
}

func addressTexts(addresses []settings.Address) []string {
	texts := make([]string, len(addresses))
	for i, address := range addresses {
		texts[i] = address.String()
	}
	return texts
}
