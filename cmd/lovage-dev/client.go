package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/outcome"
)

// Bounds on one request of the demonstration.
const (
	callTimeout = 20 * time.Second
	maxBody     = 1 << 20
)

// completion is the request body of a prompt.
type completion struct {
	Model     string   `json:"model"`
	Prompt    []uint32 `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Seed      uint64   `json:"seed"`
	Stream    bool     `json:"stream"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage"`
	Lovage  *provenance     `json:"lovage"`
	Error   json.RawMessage `json:"error"`
}

type choice struct {
	Text string `json:"text"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// provenance is the content of the last event's lovage field: how the answer was
// produced.
type provenance struct {
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"`
	Upstream     string `json:"upstream"`
	Version      string `json:"weight_version"`
	TokensReused int    `json:"tokens_reused"`
	KeptPrompt   string `json:"kept_prompt"`
	KeptFrom     string `json:"kept_from"`
}

// streamResult is a complete streamed answer.
type streamResult struct {
	text       string
	usage      usage
	provenance provenance
	firstToken time.Duration
}

// errNotRun reports a refusal with the outcome not-run: nothing ran, and another entry
// may accept the request.
var errNotRun = eris.New("not run")

var errIncompleteStream = eris.New("the stream ended before its last event")

// sendPrompt sends one prompt to an entry and reads the streamed answer.
func sendPrompt(ctx context.Context, address string, from caller, prompt completion) (streamResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prompt.Stream = true
	request, err := sling.New().Base("http://"+address).Post(callers.PathCompletions).
		Set("Authorization", "Bearer "+from.token).BodyJSON(prompt).Request()
	if err != nil {
		return streamResult{}, eris.Wrap(err, "build request")
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return streamResult{}, eris.Wrap(err, "prompt")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxBody))
		if response.Header.Get(callers.HeaderOutcome) == outcome.KindNotRun.String() {
			return streamResult{}, eris.Wrapf(errNotRun, "prompt: status %d: %s", response.StatusCode, body)
		}
		return streamResult{}, eris.Errorf("prompt: status %d: %s", response.StatusCode, body)
	}
	return readStream(response.Body, started)
}

func readStream(body io.Reader, started time.Time) (streamResult, error) {
	var out streamResult
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			out.text = text.String()
			return out, nil
		}
		if out.firstToken == 0 {
			out.firstToken = time.Since(started)
		}
		if err := out.addEvent(data, &text); err != nil {
			return out, err
		}
	}
	if err := lines.Err(); err != nil {
		return out, eris.Wrap(err, "stream")
	}
	return out, errIncompleteStream
}

func (s *streamResult) addEvent(data []byte, text *strings.Builder) error {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return eris.Wrap(err, "event")
	}
	if event.Error != nil {
		return eris.Errorf("error event: %s", event.Error)
	}
	for _, choice := range event.Choices {
		text.WriteString(choice.Text)
	}
	if event.Lovage != nil && event.Usage != nil {
		s.provenance, s.usage = *event.Lovage, *event.Usage
	}
	return nil
}

// callResult is the answer to a service call.
type callResult struct {
	status   int
	body     string
	outcome  string
	repeated bool
}

// call sends one service call to an entry.
func call(ctx context.Context, address string, from caller, path, key, body string) (callResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := sling.New().Base("http://"+address).
		Post(callers.PathServices+string(serviceName)+path).
		Set("Authorization", "Bearer "+from.token).
		Set(callers.HeaderIdempotency, key).
		Body(strings.NewReader(body)).Request()
	if err != nil {
		return callResult{}, eris.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return callResult{}, eris.Wrap(err, "service call")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return callResult{}, eris.Wrap(err, "service answer")
	}
	return callResult{
		status:   response.StatusCode,
		body:     string(data),
		outcome:  response.Header.Get(callers.HeaderOutcome),
		repeated: response.Header.Get(callers.HeaderRepeated) == "true",
	}, nil
}
