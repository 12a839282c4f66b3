package process

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/internal/settings"
)

// Exit codes of every binary.
const (
	ExitOK = 0
	// ExitFailed means the process started and then failed.
	ExitFailed = 1
	// ExitUsage means flags or settings were refused; nothing was started.
	ExitUsage = 2
)

// Spec describes one binary. S is its settings struct. If *S implements
// settings.Checker, the settings are checked after flags have overridden the file.
type Spec[S any] struct {
	Name    string
	Summary string
	// Examples are command lines shown by -help, without indentation.
	Examples []string
	// Defaults returns settings that contain all defaults.
	Defaults func() *S
	// Flags registers flags that override settings. It may be nil.
	Flags func(*flag.FlagSet, *S)
	// NeedsConfig makes -config mandatory.
	NeedsConfig bool
	// Run runs the binary until its work is done, env.Drain is closed or ctx
	// ends.
	Run func(ctx context.Context, env *Env, s *S) error
}

// Env is the environment passed to Spec.Run.
type Env struct {
	Log *log.Logger
	// Drain is closed by the first SIGTERM or interrupt, which requests a
	// graceful stop. The second one ends the context of Run.
	Drain <-chan struct{}
	// Stdout receives the results of commands, never logs.
	Stdout io.Writer
	// ConfigFile is the path of the settings file, empty if there is none.
	ConfigFile string
}

// ErrUsage marks an error of Run that is caused by the user's flags or settings; the
// process then exits with ExitUsage.
var ErrUsage = errors.New("usage")

// Version returns the module version and revision built into the binary.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return fmt.Sprintf("%s %s", version, info.GoVersion)
}

// Main runs the binary described by spec and exits the process.
func Main[S any](spec Spec[S]) {
	os.Exit(Execute(spec, os.Args[1:], os.Stdout, os.Stderr))
}

// Execute is Main with explicit arguments and streams; it returns the exit code.
func Execute[S any](spec Spec[S], args []string, stdout, stderr io.Writer) int {
	current := spec.Defaults()
	common, flags := newFlags(spec, current, stderr)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	if common.version {
		fmt.Fprintln(stdout, spec.Name, Version())
		return ExitOK
	}
	current, err := load(spec, common, args, flags)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if common.check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", spec.Name)
		return ExitOK
	}
	logger, err := newLogger(stderr, common.logLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	return run(spec, common, current, logger, stdout)
}

type commonFlags struct {
	config   string
	check    bool
	version  bool
	logLevel string
}

func newFlags[S any](spec Spec[S], target *S, output io.Writer) (*commonFlags, *flag.FlagSet) {
	common := &commonFlags{}
	flags := flag.NewFlagSet(spec.Name, flag.ContinueOnError)
	flags.SetOutput(output)
	flags.StringVar(&common.config, "config", "", "settings `file` (YAML)")
	flags.BoolVar(&common.check, "check", false, "validate the settings, start nothing")
	flags.BoolVar(&common.version, "version", false, "print the version")
	flags.StringVar(&common.logLevel, "log-level", "info", "debug, info, warn or error")
	if spec.Flags != nil {
		spec.Flags(flags, target)
	}
	flags.Usage = func() { usage(output, spec.Name, spec.Summary, spec.Examples, flags) }
	return common, flags
}

func usage(output io.Writer, name, summary string, examples []string, flags *flag.FlagSet) {
	fmt.Fprintf(output, "%s: %s\n\nFlags:\n", name, summary)
	flags.PrintDefaults()
	if len(examples) == 0 {
		return
	}
	fmt.Fprintf(output, "\nExamples:\n  %s\n", strings.Join(examples, "\n  "))
}

// load decodes the file over the defaults and then applies the flags again, so that
// flags override the file and the checks apply to the result.
func load[S any](spec Spec[S], common *commonFlags, args []string, parsed *flag.FlagSet) (*S, error) {
	if parsed.NArg() > 0 {
		return nil, fmt.Errorf("%s: unexpected argument %q; see -help", spec.Name, parsed.Arg(0))
	}
	if common.config == "" && spec.NeedsConfig {
		return nil, fmt.Errorf("%s: -config is missing; give the settings file, for example examples/%s.yaml", spec.Name, strings.TrimPrefix(spec.Name, "lovage-"))
	}
	current := spec.Defaults()
	document := &settings.Document{File: "flags"}
	if common.config != "" {
		var err error
		if document, err = settings.Decode(common.config, current); err != nil {
			return nil, err
		}
	}
	_, again := newFlags(spec, current, io.Discard)
	if err := again.Parse(args); err != nil {
		return nil, err
	}
	return current, document.Check(current)
}
