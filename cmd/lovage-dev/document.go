package main

import (
	"net/http"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
)

// Names of the deployment.
const (
	modelName    ident.Model   = "appraiser-llm"
	modelVersion ident.Version = "v1"
	serviceName  ident.Service = "clock-app"
	blockTokens                = 1000
)

// caller is a team with its bearer token.
type caller struct {
	team  ident.Team
	token string
}

var (
	florists = caller{team: "florists", token: "florists-dev-token"}
	growers  = caller{team: "growers", token: "growers-dev-token"}
)

// demoConfig returns the configuration that is applied at the start.
func demoConfig() config.Document {
	return config.Document{
		Classes: []config.Class{
			{
				Name:       "clock-questions",
				Kind:       config.KindModel,
				FirstToken: config.Target{Within: config.Duration(380 * time.Millisecond)},
				Deadline:   config.Duration(20 * time.Second),
				Repeatable: true,
				Audit:      config.AuditFull,
			},
			{
				Name:       "bids",
				Kind:       config.KindService,
				FirstToken: config.Target{Within: config.Duration(200 * time.Millisecond)},
				Deadline:   config.Duration(10 * time.Second),
				Audit:      config.AuditFull,
			},
		},
		Teams: []config.Team{teamOf(florists), teamOf(growers)},
		Models: []config.Model{{
			Name:        modelName,
			Versions:    []config.TargetVersion{{Version: modelVersion}},
			BlockTokens: blockTokens,
		}},
		Services: []config.Service{{
			Name:  serviceName,
			Class: "bids",
			Paths: []config.PathRule{{Method: http.MethodGet, Prefix: "/lots", Repeatable: true}},
		}},
	}
}

func teamOf(c caller) config.Team {
	return config.Team{
		Name:    c.team,
		Tokens:  []config.TokenDigest{config.DigestToken(c.token)},
		Classes: []ident.Class{"clock-questions", "bids"},
	}
}
