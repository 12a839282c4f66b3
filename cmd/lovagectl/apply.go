package main

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/apiclient"
	"github.com/lovagereach/lovagereach/internal/configdoc"
)

// noRevision is the value of -expect when the flag is not given.
const noRevision = -1

type applyFlags struct {
	file      string
	expect    int64
	dryRun    bool
	note      string
	requestID string
	wait      time.Duration
}

func newApply() command {
	var f applyFlags
	return command{
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&f.file, "f", "", "the YAML document, or - for standard input")
			flags.Int64Var(&f.expect, "expect", noRevision, "apply only if this is the latest revision (default: the latest when the command starts)")
			flags.BoolVar(&f.dryRun, "dry-run", false, "show what would change and change nothing")
			flags.StringVar(&f.note, "note", "", "a remark for the history")
			flags.StringVar(&f.requestID, "request-id", "", "identity of the change (default: derived from token, revision and document)")
			flags.DurationVar(&f.wait, "wait", 10*time.Second, "how long to wait for the change to be in force")
		},
		run: func(ctx context.Context, t *tool, args []string) error {
			if f.file == "" || len(args) > 0 {
				return usageError("apply needs -f FILE and no arguments")
			}
			return t.apply(ctx, f)
		},
	}
}

func (t *tool) apply(ctx context.Context, f applyFlags) error {
	request, err := t.applyRequest(ctx, f)
	if err != nil {
		return err
	}
	if !f.dryRun {
		// Printed before the request is sent, so that an operator whose answer
		// is lost can resend by hand with -request-id and -expect.
		fmt.Fprintf(t.streams.err, "request id %s on revision %d\n", request.RequestID, request.Base)
	}
	var answer api.ApplyAnswer
	err = t.client.Call(ctx, apiclient.Request{
		Method: http.MethodPost, Path: api.PathConfig, Body: request, Into: &answer, Repeatable: true,
	})
	if err != nil {
		return err
	}
	if err := t.print(answer, func(r *rows) { applyRows(r, answer) }); err != nil {
		return err
	}
	if !answer.InForce && !answer.DryRun {
		return fmt.Errorf("revision %d is %w; run lovagectl status to see which entry is behind: it holds the change up until its lease ends", answer.Revision, errNotInForce)
	}
	return nil
}

// applyRequest reads the document and computes the change to the base revision.
func (t *tool) applyRequest(ctx context.Context, f applyFlags) (api.ApplyRequest, error) {
	text, err := t.readDocument(f.file)
	if err != nil {
		return api.ApplyRequest{}, err
	}
	document, err := configdoc.Parse(f.file, text)
	if err != nil {
		return api.ApplyRequest{}, documentError(err)
	}
	base, delta, err := t.changeTo(ctx, document, f.expect)
	if err != nil {
		return api.ApplyRequest{}, err
	}
	content := config.TokenDigest(sha256.Sum256(text))
	return api.ApplyRequest{
		RequestID:  cmp.Or(f.requestID, deriveRequestID(t.token, base, text)),
		Base:       base,
		Note:       f.note,
		DryRun:     f.dryRun,
		File:       f.file,
		Delta:      &delta,
		Content:    &content,
		WaitMillis: f.wait.Milliseconds(),
	}, nil
}

func (t *tool) readDocument(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(t.streams.in)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError("-f: %s", err)
	}
	return data, nil
}

// documentError returns a document's faults as the error that a control host would
// answer.
func documentError(err error) error {
	return &api.Error{
		Code:    api.CodeInvalid,
		Message: "the configuration is not valid: " + err.Error(),
		Next:    "mend the document and apply it again",
	}
}

// changeTo returns the base revision and the delta from it to the document. If the
// base is not the latest revision, the delta is empty: the answer can only be a
// conflict, or the first answer to a resend.
func (t *tool) changeTo(ctx context.Context, document config.Document, expect int64) (config.Revision, config.Delta, error) {
	var latest api.ConfigAnswer
	err := t.client.Call(ctx, apiclient.Request{Path: api.PathConfig, Into: &latest, Repeatable: true})
	if err != nil {
		return 0, config.Delta{}, err
	}
	if expect != noRevision && config.Revision(expect) != latest.Revision {
		return config.Revision(expect), config.Delta{}, nil
	}
	current := config.Empty()
	if latest.Revision > 0 {
		if current, err = config.NewSnapshot(latest.Revision, latest.Document); err != nil {
			return 0, config.Delta{}, err
		}
	}
	return latest.Revision, config.Diff(current, &document), nil
}

// requestIDBytes is the length in bytes of a derived request id before encoding.
const requestIDBytes = 16

// deriveRequestID returns a request id that is equal for equal token, base and
// document, so that running the command again after a lost answer is a resend and
// not a second change.
func deriveRequestID(token string, base config.Revision, document []byte) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%x\n%d\n", sha256.Sum256([]byte(token)), base)
	hash.Write(document)
	return "ctl-" + hex.EncodeToString(hash.Sum(nil)[:requestIDBytes])
}

func applyRows(r *rows, answer api.ApplyAnswer) {
	verdict := string(answer.Verdict)
	if answer.DryRun {
		verdict = "would be " + verdict
	}
	if answer.Repeated {
		verdict += " (first answer to this request id)"
	}
	r.add("verdict", verdict)
	r.add("revision", answer.Revision)
	if !answer.DryRun {
		r.add("in force", answer.InForce)
	}
	deltaRows(r, answer.Delta)
}
