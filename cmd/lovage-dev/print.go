package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/lovagereach/lovagereach/internal/adapter/callers"
)

// printAddresses prints the addresses of all listeners, three example requests for
// callers and an example command for operators.
func printAddresses(out io.Writer, d *deployment, tokenFile string) {
	for i, host := range d.controls.hosts {
		fmt.Fprintf(out, "control  %-12s peers %s  operators %s\n", host.Name(), host.PeerAddress(), d.controls.operators[i])
	}
	for i, host := range d.entries {
		fmt.Fprintf(out, "entry    %-12s callers %s  upstreams %s  operators %s\n",
			entryName(i), host.Callers(), host.Announce(), host.Operators())
	}
	for i, listener := range d.standins.listener {
		fmt.Fprintf(out, "stand-in %-12s %s\n", d.standins.kinds[i], listener.Addr())
	}
	address := d.entries[0].Callers()
	prompt := fmt.Sprintf(`{"model":%q,"prompt":"what is lot 7 worth?","max_tokens":8,"stream":true}`, modelName)
	fmt.Fprintf(out, "\ntry:\n")
	fmt.Fprintf(out, "curl -N -H 'Authorization: Bearer %s' -d '%s' http://%s%s\n",
		florists.token, prompt, address, callers.PathCompletions)
	fmt.Fprintf(out, "curl -i -H 'Authorization: Bearer %s' -H 'Idempotency-Key: bid-1' -d '{\"lot\":7}' http://%s%s%s/bids\n",
		florists.token, address, callers.PathServices, serviceName)
	fmt.Fprintf(out, "curl -H 'Authorization: Bearer %s' http://%s%s\n",
		florists.token, address, callers.PathAddress)
	fmt.Fprintf(out, "\nas an operator:\ngo run ./cmd/lovagectl status -servers %s -token-file %s\n",
		strings.Join(d.controls.operators, ","), tokenFile)
}
