package main

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/explain"
)

// newExplain returns the explain command, which reads log files and contacts no
// deployment.
func newExplain() command {
	var request string
	return command{
		offline: true,
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&request, "request", "", "`ID` of the request")
		},
		run: func(_ context.Context, tool *tool, args []string) error {
			if request == "" || len(args) == 0 {
				return usageError("explain needs -request and the logs of one or more processes")
			}
			timeline := explain.NewTimeline(request)
			for _, read := range []func(string, io.Reader) error{timeline.ReadRequest, timeline.ReadRelated} {
				for _, path := range args {
					if err := readLog(path, read); err != nil {
						return err
					}
				}
			}
			return timeline.Write(tool.streams.out)
		},
	}
}

// readLog passes the log at path to read, with the file's name without its
// extension as the name of the process.
func readLog(path string, read func(string, io.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }()
	name := filepath.Base(path)
	return read(strings.TrimSuffix(name, filepath.Ext(name)), file)
}
