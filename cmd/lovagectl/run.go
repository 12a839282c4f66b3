package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/apiclient"
	"github.com/lovagereach/lovagereach/internal/process"
)

// Exit codes, also listed by -help and docs/OPERATIONS.md.
const (
	exitOK           = 0
	exitFailed       = 1
	exitUsage        = 2
	exitConflict     = 3
	exitInvalid      = 4
	exitNotInForce   = 5
	exitUncertain    = 6
	exitUnauthorized = 7
)

const usage = `lovagectl - operate a lovagereach deployment

usage: lovagectl COMMAND [flags] [arguments]

commands:
  apply    -f FILE [-expect REVISION] [-dry-run] [-note TEXT]   set the configuration
  get                                                           show the configuration
  history  [-limit N] [-before REVISION]                        show who changed what and when
  diff     FROM [TO] | -f FILE                                  show changes
  status                                                        show each control host
  members  [list | add-learner HOST | promote HOST | remove HOST | replace HOST]
  dump                                                          show a control host's state
  audit    [-open] [-team T] [-request ID] [-batch B] [-limit N]
                                                                ask what answered requests
  explain  -request ID LOG...                                   why a request ended as it did, from the
                                                                logs of entries and control hosts
  losses   LOG...                                               which requests were lost or late, when and
                                                                why, counted from the logs of entries
  version                                                       print the version

common flags:
  -servers URL,URL   control hosts' operators' listeners (LOVAGE_SERVERS)
  -token-file FILE   file with the operator's token (LOVAGE_TOKEN_FILE)
  -ca FILE           certificates that sign the listeners' (LOVAGE_CA)
  -o table|json|yaml form of the output
  -timeout DURATION  when to give up

exit codes:
  0  done
  1  failed, nothing is known to have changed
  2  flags or arguments are wrong
  3  conflict: another change won, or the request id was used before
  4  the document is not valid
  5  committed, but not yet in force everywhere
  6  outcome uncertain: run the same command again
  7  the token names no operator

examples:
  export LOVAGE_SERVERS=http://127.0.0.1:7420 LOVAGE_TOKEN_FILE=examples/operator.token
  lovagectl apply -f examples/config.yaml -note "first configuration"
  lovagectl get > config.yaml
  lovagectl diff -f config.yaml
  lovagectl status -o json
  lovagectl audit -open
`

// errUsage marks errors in the flags or arguments.
var errUsage = errors.New("see lovagectl -help")

func usageError(format string, args ...any) error {
	return fmt.Errorf("%s; %w", fmt.Sprintf(format, args...), errUsage)
}

// command is one subcommand. run receives the arguments after the flags.
type command struct {
	flags func(*flag.FlagSet)
	run   func(ctx context.Context, tool *tool, args []string) error
	// offline is set for commands that contact no control host; their tool has
	// no client.
	offline bool
}

// tool is the state that the subcommands share: streams, API client, operator's token
// and output format.
type tool struct {
	streams streams
	client  *apiclient.Client
	token   string
	output  string
}

// common holds the flags that all subcommands have.
type common struct {
	servers   string
	tokenFile string
	ca        string
	output    string
	timeout   time.Duration
}

func (c *common) register(flags *flag.FlagSet, getenv func(string) string) {
	flags.StringVar(&c.servers, "servers", getenv("LOVAGE_SERVERS"), "comma-separated URLs of the control hosts' operators' listeners")
	flags.StringVar(&c.tokenFile, "token-file", getenv("LOVAGE_TOKEN_FILE"), "file with the operator's token")
	flags.StringVar(&c.ca, "ca", getenv("LOVAGE_CA"), "file with the certificates that sign the listeners'")
	flags.StringVar(&c.output, "o", outputTable, "output: table, json or yaml")
	flags.DurationVar(&c.timeout, "timeout", 30*time.Second, "when to give up")
}

func run(ctx context.Context, args []string, std streams, getenv func(string) string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-help" || args[0] == "--help" || args[0] == "-h" {
		fmt.Fprint(std.out, usage)
		return exitOK
	}
	if args[0] == "version" || args[0] == "-version" || args[0] == "--version" {
		fmt.Fprintln(std.out, "lovagectl", process.Version())
		return exitOK
	}
	err := dispatch(ctx, args[0], args[1:], std, getenv)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	report(std.err, err)
	return exitCodeOf(err)
}

func dispatch(ctx context.Context, name string, args []string, std streams, getenv func(string) string) error {
	cmd, found := commands()[name]
	if !found {
		return usageError("there is no command %q", name)
	}
	var shared common
	flags := flag.NewFlagSet("lovagectl "+name, flag.ContinueOnError)
	flags.SetOutput(std.err)
	shared.register(flags, getenv)
	if cmd.flags != nil {
		cmd.flags(flags)
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError("%s", err)
	}
	tool := &tool{streams: std, output: shared.output}
	if !cmd.offline {
		var err error
		if tool, err = shared.tool(std); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, shared.timeout)
	defer cancel()
	return cmd.run(ctx, tool, flags.Args())
}

func commands() map[string]command {
	return map[string]command{
		"apply":   newApply(),
		"get":     {run: get},
		"history": newHistory(),
		"diff":    newDiff(),
		"status":  {run: status},
		"members": {run: members},
		"dump":    {run: dump},
		"audit":   newAudit(),
		"explain": newExplain(),
		"losses":  newLosses(),
	}
}

func (c *common) tool(std streams) (*tool, error) {
	if c.output != outputTable && c.output != outputJSON && c.output != outputYAML {
		return nil, usageError("-o: %q is none of table, json, yaml", c.output)
	}
	if c.servers == "" {
		return nil, usageError("name the control hosts with -servers or LOVAGE_SERVERS, for example http://127.0.0.1:7420")
	}
	if c.tokenFile == "" {
		return nil, usageError("name the file with your token with -token-file or LOVAGE_TOKEN_FILE")
	}
	token, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return nil, usageError("-token-file: %s", err)
	}
	transport, err := c.transport()
	if err != nil {
		return nil, err
	}
	text := strings.TrimSpace(string(token))
	client, err := apiclient.New(strings.Split(c.servers, ","), text, transport)
	if err != nil {
		return nil, err
	}
	return &tool{streams: std, client: client, token: text, output: c.output}, nil
}

func (c *common) transport() (http.RoundTripper, error) {
	if c.ca == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.ca)
	if err != nil {
		return nil, usageError("-ca: %s", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, usageError("-ca: %s holds no certificate in PEM form", c.ca)
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}, nil
}

// errNotInForce reports that a change is committed and not yet in force.
var errNotInForce = errors.New("committed, but not yet in force everywhere")

func exitCodeOf(err error) int {
	var failure *api.Error
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case !errors.As(err, &failure):
		return exitFailed
	}
	switch failure.Code {
	case api.CodeConflict, api.CodeReused:
		return exitConflict
	case api.CodeInvalid:
		return exitInvalid
	case api.CodeUncertain:
		return exitUncertain
	case api.CodeUnauthorized:
		return exitUnauthorized
	default:
		return exitFailed
	}
}

// report writes the error and, if known, the next action for the operator.
func report(out interface{ Write([]byte) (int, error) }, err error) {
	var failure *api.Error
	if !errors.As(err, &failure) {
		fmt.Fprintf(out, "lovagectl: %s\n", eris.ToString(err, false))
		var unreachable *url.Error
		if errors.As(err, &unreachable) {
			fmt.Fprintln(out, "next: see that a control host runs, and that -servers or LOVAGE_SERVERS names the operators' listeners")
		}
		return
	}
	fmt.Fprintf(out, "lovagectl: %s\n", failure.Message)
	for _, problem := range failure.Problems {
		fmt.Fprintf(out, "  %s: %s\n", problem.Path, problem.Reason)
	}
	if failure.Next != "" {
		fmt.Fprintf(out, "next: %s\n", failure.Next)
	}
}
