package main

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/controlhost"
	"github.com/lovagereach/lovagereach/internal/settings"
)

// minPeerKey is the minimum length of the shared key in bytes.
const minPeerKey = 32

// Settings are the contents of the settings file.
type Settings struct {
	Host       ident.Host       `yaml:"host"`
	DataCentre ident.DataCentre `yaml:"data_centre"`
	Cluster    string           `yaml:"cluster"`
	// Data is the folder of the replicated state.
	Data   string `yaml:"data"`
	Listen Listen `yaml:"listen"`
	// Control lists all control hosts, this one too.
	Control []Member `yaml:"control"`
	// Operators lists the accounts that may use the operators' listener.
	Operators []Operator `yaml:"operators"`
	// LedgerGroups is the number of groups of the at-most-once ledger. It has
	// to be equal on all control hosts.
	LedgerGroups int `yaml:"ledger_groups"`
	// PeerKeyFile is the path of the secret shared by all processes; it is used
	// instead of PeerTLS.
	PeerKeyFile  string       `yaml:"peer_key_file"`
	PeerTLS      TLS          `yaml:"peer_tls"`
	OperatorsTLS Certificates `yaml:"operators_tls"`
	// StopTimeout is the maximum duration of a graceful stop.
	StopTimeout settings.Duration `yaml:"stop_timeout"`
}

// Listen are the addresses to listen on.
type Listen struct {
	Peer      settings.Address `yaml:"peer"`
	Operators settings.Address `yaml:"operators"`
	Telemetry settings.Address `yaml:"telemetry"`
}

// Member is one control host.
type Member struct {
	Host ident.Host       `yaml:"host"`
	Peer settings.Address `yaml:"peer"`
	// Operators is the URL of its operators' listener.
	Operators string `yaml:"operators"`
}

// Operator is an account that may use the operators' listener.
type Operator struct {
	Name        string `yaml:"name"`
	TokenDigest digest `yaml:"token_digest"`
}

// digest is a token's digest whose decoding error contains the line in the file.
type digest config.TokenDigest

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (d *digest) UnmarshalYAML(node ast.Node) error {
	return settings.Scalar(node, func(text string) error {
		return (*config.TokenDigest)(d).UnmarshalText([]byte(text))
	}, "the SHA-256 of a token in hexadecimal")
}

// TLS names the PEM files for mutual certificates between processes.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Certificates name the PEM files of the operators' listener.
type Certificates struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Check implements settings.Checker.
func (s *Settings) Check(r *settings.Report) {
	r.NotEmpty("host", string(s.Host), "the name of this control host")
	r.NotEmpty("data_centre", string(s.DataCentre), "the data centre this host stands in")
	r.NotEmpty("cluster", s.Cluster, "the name of the deployment, the same everywhere")
	r.NotEmpty("data", s.Data, "a folder on a local disk")
	r.Listen("listen.peer", s.Listen.Peer)
	r.Listen("listen.operators", s.Listen.Operators)
	r.DistinctListeners(
		[]string{"listen.peer", "listen.operators", "listen.telemetry"},
		[]settings.Address{s.Listen.Peer, s.Listen.Operators, s.Listen.Telemetry},
	)
	r.NotNegative("stop_timeout", int64(s.StopTimeout))
	r.Require(len(s.Operators) > 0, "operators", "is empty", "at least one operator with a token digest")
	r.Require(s.LedgerGroups >= 0 && s.LedgerGroups <= config.MaxLedgerShards, "ledger_groups",
		fmt.Sprintf("%d is out of range", s.LedgerGroups), fmt.Sprintf("1 to %d, or nothing for %d", config.MaxLedgerShards, config.DefaultLedgerShards))
	s.checkControl(r)
	s.checkSecrets(r)
}

func (s *Settings) checkControl(r *settings.Report) {
	seen := make(map[ident.Host]bool)
	for i, member := range s.Control {
		key := fmt.Sprintf("control[%d]", i)
		r.NotEmpty(key+".host", string(member.Host), "the name of a control host")
		r.Listen(key+".peer", member.Peer)
		r.Require(!seen[member.Host], key+".host", fmt.Sprintf("%q is listed twice", member.Host), "each control host once")
		seen[member.Host] = true
	}
	r.Require(seen[s.Host], "control", fmt.Sprintf("doesn't list this host, %q", s.Host), "all control hosts, this one too")
	r.Require(len(s.Control)%2 == 1, "control", fmt.Sprintf("lists %d hosts", len(s.Control)), "an odd number: 3 or 5, or 1 for development")
}

func (s *Settings) checkSecrets(r *settings.Report) {
	withTLS := s.PeerTLS != TLS{}
	r.Require(withTLS != (s.PeerKeyFile != ""), "peer_key_file", "exactly one of peer_key_file and peer_tls is needed", "a file with a shared secret, or peer_tls")
	if s.PeerKeyFile != "" {
		r.Secret("peer_key_file", s.PeerKeyFile, minPeerKey)
	}
	if withTLS {
		r.NotEmpty("peer_tls.certificate", s.PeerTLS.Certificate, "a PEM file")
		r.NotEmpty("peer_tls.key", s.PeerTLS.Key, "a PEM file")
		r.NotEmpty("peer_tls.authority", s.PeerTLS.Authority, "a PEM file")
	}
	r.Require((s.OperatorsTLS.Certificate == "") == (s.OperatorsTLS.Key == ""), "operators_tls", "needs certificate and key", "both or neither")
}

// options returns the options of the control host without its listeners and log.
func (s *Settings) options() (controlhost.Options, error) {
	options := controlhost.Options{
		Host:             s.Host,
		DataCentre:       s.DataCentre,
		Cluster:          s.Cluster,
		Data:             s.Data,
		TelemetryAddress: s.Listen.Telemetry.String(),
		ControlAddresses: make(map[ident.Host]string),
		OperatorURLs:     make(map[ident.Host]string),
		OperatorTokens:   make(map[config.TokenDigest]string),
		LedgerGroups:     s.LedgerGroups,
		StopTimeout:      s.StopTimeout.Std(),
	}
	for _, member := range s.Control {
		options.ControlAddresses[member.Host] = member.Peer.String()
		if member.Operators != "" {
			options.OperatorURLs[member.Host] = member.Operators
		}
	}
	for _, operator := range s.Operators {
		options.OperatorTokens[config.TokenDigest(operator.TokenDigest)] = operator.Name
	}
	if files := s.OperatorsTLS; files.Certificate != "" {
		options.OperatorsTLS = &controlhost.CertificateFiles{Certificate: files.Certificate, Key: files.Key}
	}
	if s.PeerKeyFile == "" {
		options.TLS = &peer.TLSFiles{Certificate: s.PeerTLS.Certificate, Key: s.PeerTLS.Key, Authority: s.PeerTLS.Authority}
		return options, nil
	}
	key, err := settings.ReadSecret("peer_key_file", s.PeerKeyFile, minPeerKey)
	options.PeerKey = key
	return options, err
}
