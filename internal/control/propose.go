package control

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// propose commits a command and decodes its result.
func (s *Server) propose(ctx context.Context, cmd command) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ProposeTimeout)
	defer cancel()
	encoded := wire.MustMarshal(cmd)
	if s.opts.MaxCommandBytes > 0 && len(encoded) > s.opts.MaxCommandBytes {
		return result{}, &TooLargeError{Bytes: len(encoded), Max: s.opts.MaxCommandBytes}
	}
	data, err := s.opts.Replica.Propose(ctx, encoded)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		// The command may already be in the log. If the caller took this for a
		// refusal, it would apply the change again under another ID.
		return result{}, errors.Join(port.ErrUncertain, err)
	}
	if err != nil {
		return result{}, err
	}
	var answer result
	if err := wire.Unmarshal(data, &answer); err != nil {
		return result{}, eris.Wrap(err, "control: decode result")
	}
	return answer, nil
}

// handler adapts a typed function to a port.PeerHandler.
func handler[Request, Answer any](f func(context.Context, port.Peer, Request) (Answer, error)) port.PeerHandler {
	return port.PeerHandlerFunc(func(ctx context.Context, from port.Peer, method port.Method, body []byte) ([]byte, error) {
		var request Request
		if err := wire.Unmarshal(body, &request); err != nil {
			return nil, eris.Wrapf(err, "control: decode %s", method)
		}
		answer, err := f(ctx, from, request)
		if err != nil {
			return nil, err
		}
		return wire.Marshal(answer)
	})
}
