package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/controlhost"
)

// operatorToken authenticates lovagectl at the control hosts.
const operatorToken = "operator-dev-token"

// controls are the control hosts of the deployment.
type controls struct {
	hosts []*controlhost.Host
	// peers maps hosts to their peer addresses; operators lists the URLs of
	// their operators' listeners in the order of hosts.
	peers     map[ident.Host]string
	operators []string
}

// newControls creates the control hosts, which store their state in folder.
func newControls(count int, folder string, key []byte, logger *log.Logger) (*controls, error) {
	c := &controls{peers: make(map[ident.Host]string)}
	urls := make(map[ident.Host]string)
	var peerListeners, operatorListeners []net.Listener
	for i := range count {
		peerListener, err := listen(0)
		if err != nil {
			return nil, err
		}
		operatorListener, err := listen(0)
		if err != nil {
			return nil, err
		}
		peerListeners = append(peerListeners, peerListener)
		operatorListeners = append(operatorListeners, operatorListener)
		c.peers[controlName(i)] = peerListener.Addr().String()
		c.operators = append(c.operators, "http://"+operatorListener.Addr().String())
		urls[controlName(i)] = c.operators[i]
	}
	for i := range count {
		host, err := controlhost.New(controlhost.Options{
			Host:             controlName(i),
			DataCentre:       dataCentres[i%len(dataCentres)],
			Cluster:          cluster,
			Data:             filepath.Join(folder, string(controlName(i))),
			PeerListener:     peerListeners[i],
			OperatorListener: operatorListeners[i],
			ControlAddresses: c.peers,
			OperatorURLs:     urls,
			OperatorTokens:   map[config.TokenDigest]string{config.DigestToken(operatorToken): "lovage-dev"},
			PeerKey:          key,
			Log:              logger.With("host", controlName(i)),
		})
		if err != nil {
			return nil, err
		}
		c.hosts = append(c.hosts, host)
	}
	return c, nil
}

func controlName(i int) ident.Host { return ident.Host(fmt.Sprintf("control-%d", i+1)) }

// run runs the control hosts until ctx ends. They are stopped without a drain: all of
// them stop together, so no host remains to which leadership could be transferred.
func (c *controls) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, host := range c.hosts {
		group.Go(func() error { return host.Run(ctx, nil) })
	}
	return group.Wait()
}
