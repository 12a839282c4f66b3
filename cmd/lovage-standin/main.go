// Command lovage-standin runs stand-in engines, store hosts, plain services
// and a weight store for development. The engines, store hosts and services
// announce themselves to the entries, and faults can be injected into them.
package main

import "github.com/lovagereach/lovagereach/internal/process"

func main() {
	process.Main(process.Spec[Settings]{
		Name:    "lovage-standin",
		Summary: "stand-in engines, store hosts and plain services for development",
		Examples: []string{
			"lovage-standin -config examples/standin.yaml",
			"lovage-standin -config examples/standin.yaml -check",
			`curl -d '{"kind":"truncated","count":1}' http://127.0.0.1:7301/faults`,
			"curl http://127.0.0.1:7301/stats",
		},
		Defaults:    func() *Settings { return &Settings{Linger: defaultLinger} },
		NeedsConfig: true,
		Run:         run,
	})
}
