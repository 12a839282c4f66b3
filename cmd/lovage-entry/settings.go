package main

import (
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/entryhost"
	"github.com/lovagereach/lovagereach/internal/settings"
	"github.com/lovagereach/lovagereach/prefix"
)

// minKey is the minimum length of a secret in bytes.
const minKey = prefix.KeySize

// Default durations.
const (
	defaultKeepAddress = 10 * time.Second
	defaultTokenGap    = 30 * time.Second
)

// Settings are the contents of the settings file.
type Settings struct {
	Host       ident.Host       `yaml:"host"`
	DataCentre ident.DataCentre `yaml:"data_centre"`
	Cluster    string           `yaml:"cluster"`
	Listen     Listen           `yaml:"listen"`
	// Control lists the control hosts.
	Control []Member `yaml:"control"`
	// PeerKeyFile is the path of the secret shared by all processes; it is used
	// instead of PeerTLS.
	PeerKeyFile string `yaml:"peer_key_file"`
	PeerTLS     TLS    `yaml:"peer_tls"`
	// BlockKeyFile is the path of the secret from which the names of kept
	// blocks are derived. It has to be equal at all entries.
	BlockKeyFile string `yaml:"block_key_file"`
	Limits       Limits `yaml:"limits"`
	// KeepAddress is how long callers may cache an address answer.
	KeepAddress settings.Duration `yaml:"keep_address"`
	// TokenGap is the maximum time without data from an engine, before the first
	// token and between tokens; comments of the event stream count as data.
	TokenGap settings.Duration `yaml:"token_gap"`
	// DrainTimeout is the maximum duration of a graceful stop.
	DrainTimeout settings.Duration `yaml:"drain_timeout"`
}

// Listen are the addresses to listen on.
type Listen struct {
	Callers   settings.Address `yaml:"callers"`
	Announce  settings.Address `yaml:"announce"`
	Peer      settings.Address `yaml:"peer"`
	Telemetry settings.Address `yaml:"telemetry"`
}

// Member is the name and peer address of another process.
type Member struct {
	Host ident.Host       `yaml:"host"`
	Peer settings.Address `yaml:"peer"`
}

// TLS names the PEM files for mutual certificates between processes.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Limits are the bounds on callers' requests and connections.
type Limits struct {
	Body         settings.Bytes    `yaml:"body"`
	Header       settings.Bytes    `yaml:"header"`
	PromptTokens int               `yaml:"prompt_tokens"`
	AnswerTokens int               `yaml:"answer_tokens"`
	Open         int               `yaml:"open_requests"`
	OpenPerTeam  int               `yaml:"open_requests_per_team"`
	Read         settings.Duration `yaml:"read_timeout"`
	Write        settings.Duration `yaml:"write_timeout"`
	Idle         settings.Duration `yaml:"idle_timeout"`
}

func defaults() *Settings {
	return &Settings{
		Limits: Limits{
			Body:         callers.DefaultMaxBody,
			Header:       callers.DefaultMaxHeader,
			PromptTokens: callers.DefaultMaxPromptTokens,
			AnswerTokens: callers.DefaultMaxAnswerTokens,
			Open:         callers.DefaultMaxOpen,
			OpenPerTeam:  callers.DefaultMaxOpenPerTeam,
			Read:         settings.Duration(callers.DefaultReadTimeout),
			Write:        settings.Duration(callers.DefaultWriteTimeout),
			Idle:         settings.Duration(callers.DefaultIdleTimeout),
		},
		KeepAddress:  settings.Duration(defaultKeepAddress),
		TokenGap:     settings.Duration(defaultTokenGap),
		DrainTimeout: settings.Duration(entryhost.DefaultDrainTimeout),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(r *settings.Report) {
	r.NotEmpty("host", string(s.Host), "the name of this entry host")
	r.NotEmpty("data_centre", string(s.DataCentre), "the data centre this host stands in")
	r.NotEmpty("cluster", s.Cluster, "the name of the deployment, the same everywhere")
	r.Listen("listen.callers", s.Listen.Callers)
	r.Listen("listen.announce", s.Listen.Announce)
	r.Listen("listen.peer", s.Listen.Peer)
	r.Listen("listen.telemetry", s.Listen.Telemetry)
	r.DistinctListeners(
		[]string{"listen.callers", "listen.announce", "listen.peer", "listen.telemetry"},
		[]settings.Address{s.Listen.Callers, s.Listen.Announce, s.Listen.Peer, s.Listen.Telemetry},
	)
	r.Require(len(s.Control) > 0, "control", "is empty", "the control hosts with their peer addresses")
	checkMembers(r, "control", s.Control)
	r.Secret("block_key_file", s.BlockKeyFile, minKey)
	s.checkPeers(r)
	s.checkTimes(r)
	s.Limits.check(r)
}

func checkMembers(r *settings.Report, list string, members []Member) {
	seen := make(map[ident.Host]bool)
	for i, member := range members {
		key := fmt.Sprintf("%s[%d]", list, i)
		r.NotEmpty(key+".host", string(member.Host), "a host's name")
		r.Listen(key+".peer", member.Peer)
		r.Require(!seen[member.Host], key+".host", fmt.Sprintf("%q is listed twice", member.Host), "each host once")
		seen[member.Host] = true
	}
}

func (s *Settings) checkPeers(r *settings.Report) {
	withTLS := s.PeerTLS != TLS{}
	r.Require(withTLS != (s.PeerKeyFile != ""), "peer_key_file",
		"exactly one of peer_key_file and peer_tls is needed", "a file with a shared secret, or peer_tls")
	if s.PeerKeyFile != "" {
		r.Secret("peer_key_file", s.PeerKeyFile, minKey)
	}
	if withTLS {
		r.NotEmpty("peer_tls.certificate", s.PeerTLS.Certificate, "a PEM file")
		r.NotEmpty("peer_tls.key", s.PeerTLS.Key, "a PEM file")
		r.NotEmpty("peer_tls.authority", s.PeerTLS.Authority, "a PEM file")
	}
}

func (s *Settings) checkTimes(r *settings.Report) {
	r.Positive("keep_address", int64(s.KeepAddress))
	r.Positive("token_gap", int64(s.TokenGap))
	r.Positive("drain_timeout", int64(s.DrainTimeout))
	r.Require(s.DrainTimeout > s.KeepAddress, "drain_timeout",
		fmt.Sprintf("%v is not above keep_address, %v", s.DrainTimeout, s.KeepAddress),
		"a longer time: callers still come until their address answers have run out")
}

func (l *Limits) check(r *settings.Report) {
	r.Positive("limits.body", int64(l.Body))
	r.Positive("limits.header", int64(l.Header))
	r.Positive("limits.prompt_tokens", int64(l.PromptTokens))
	r.Positive("limits.answer_tokens", int64(l.AnswerTokens))
	r.Positive("limits.open_requests", int64(l.Open))
	r.Positive("limits.open_requests_per_team", int64(l.OpenPerTeam))
	r.Positive("limits.read_timeout", int64(l.Read))
	r.Positive("limits.write_timeout", int64(l.Write))
	r.Positive("limits.idle_timeout", int64(l.Idle))
}

// options returns the options of the entry host without its listeners and log.
func (s *Settings) options() (entryhost.Options, error) {
	options := entryhost.Options{
		Host:         s.Host,
		DataCentre:   s.DataCentre,
		Cluster:      s.Cluster,
		Operators:    s.Listen.Telemetry.String(),
		Control:      addressesOf(s.Control),
		KeepAddress:  s.KeepAddress.Std(),
		TokenGap:     s.TokenGap.Std(),
		DrainTimeout: s.DrainTimeout.Std(),
		Callers: callers.Options{
			MaxBody:         int64(s.Limits.Body),
			MaxHeader:       int(s.Limits.Header),
			MaxPromptTokens: s.Limits.PromptTokens,
			MaxAnswerTokens: s.Limits.AnswerTokens,
			MaxOpen:         s.Limits.Open,
			MaxOpenPerTeam:  s.Limits.OpenPerTeam,
			ReadTimeout:     s.Limits.Read.Std(),
			WriteTimeout:    s.Limits.Write.Std(),
			IdleTimeout:     s.Limits.Idle.Std(),
		},
	}
	blockKey, err := settings.ReadSecret("block_key_file", s.BlockKeyFile, minKey)
	if err != nil {
		return options, err
	}
	options.BlockKey = prefix.Key(blockKey[:prefix.KeySize])
	if s.PeerKeyFile == "" {
		options.TLS = &peer.TLSFiles{Certificate: s.PeerTLS.Certificate, Key: s.PeerTLS.Key, Authority: s.PeerTLS.Authority}
		return options, nil
	}
	options.PeerKey, err = settings.ReadSecret("peer_key_file", s.PeerKeyFile, minKey)
	return options, err
}

func addressesOf(members []Member) map[ident.Host]string {
	out := make(map[ident.Host]string, len(members))
	for _, member := range members {
		out[member.Host] = member.Peer.String()
	}
	return out
}

// listen opens the listeners. On an error it closes the ones already open.
func (s *Settings) listen() (entryhost.Listeners, error) {
	var out entryhost.Listeners
	for _, open := range []struct {
		address  settings.Address
		listener *net.Listener
	}{
		{s.Listen.Callers, &out.Callers},
		{s.Listen.Announce, &out.Announce},
		{s.Listen.Peer, &out.Peer},
	} {
		var err error
		if *open.listener, err = net.Listen("tcp", open.address.String()); err != nil {
			out.Close()
			return out, eris.Wrapf(err, "listen on %s", open.address)
		}
	}
	return out, nil
}
