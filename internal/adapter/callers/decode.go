package callers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/internal/tokenize"
)

// Limits of parts of a body.
const (
	maxModelName = 256
	maxMessages  = 4096
	maxParts     = 1024
)

// adapterSeparator separates the names of model and adapter: "model:adapter".
const adapterSeparator = ':'

// completionBody holds the fields common to completions and chat requests. Other fields
// of the widely used format are ignored.
type completionBody struct {
	Model     string `json:"model"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Seed      uint64 `json:"seed"`
	// N is the requested number of answers; only 1 is supported.
	N *int `json:"n"`
}

type textBody struct {
	completionBody
	Prompt json.RawMessage `json:"prompt"`
}

type chatBody struct {
	completionBody
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Messages            []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// limits holds the maximum token counts of one request.
type limits struct {
	promptTokens int
	answerTokens int
}

// decodedRequest is a decoded completions or chat request.
type decodedRequest struct {
	prompt entry.Prompt
	stream bool
}

func invalid(field, format string, args ...any) error {
	return &httpbound.BodyError{
		Status:  http.StatusBadRequest,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	}
}

// decodeBody decodes a JSON body. It removes the name of the embedded struct from the
// field of an error, so that the field is named as in the request.
func decodeBody(body []byte, into any) error {
	err := httpbound.DecodeJSON(body, into, true)
	var bad *httpbound.BodyError
	if errors.As(err, &bad) {
		bad.Field = strings.TrimPrefix(bad.Field, "completionBody.")
	}
	return err
}

// decodeText decodes the body of a completions request.
func decodeText(body []byte, bound limits) (decodedRequest, error) {
	var in textBody
	if err := decodeBody(body, &in); err != nil {
		return decodedRequest{}, err
	}
	out, err := decodeShared(in.completionBody, bound)
	if err != nil {
		return decodedRequest{}, err
	}
	out.prompt.Tokens, err = promptTokens(in.Prompt, bound.promptTokens)
	return out, err
}

// decodeChat decodes the body of a chat request.
func decodeChat(body []byte, bound limits) (decodedRequest, error) {
	var in chatBody
	if err := decodeBody(body, &in); err != nil {
		return decodedRequest{}, err
	}
	if in.MaxCompletionTokens != nil {
		in.MaxTokens = in.MaxCompletionTokens
	}
	out, err := decodeShared(in.completionBody, bound)
	if err != nil {
		return decodedRequest{}, err
	}
	out.prompt.Tokens, err = chatTokens(in.Messages, bound.promptTokens)
	return out, err
}

// decodeShared validates the common fields. It doesn't set the tokens.
func decodeShared(in completionBody, bound limits) (decodedRequest, error) {
	if in.Model == "" || len(in.Model) > maxModelName {
		return decodedRequest{}, invalid("model", "must have 1 to %d bytes, has %d", maxModelName, len(in.Model))
	}
	if in.N != nil && *in.N != 1 {
		return decodedRequest{}, invalid("n", "%d answers asked for, only 1 is given", *in.N)
	}
	maxTokens := min(defaultAnswerTokens, bound.answerTokens)
	if in.MaxTokens != nil {
		maxTokens = *in.MaxTokens
	}
	if maxTokens < 1 || maxTokens > bound.answerTokens {
		return decodedRequest{}, invalid("max_tokens", "%d is not between 1 and %d", maxTokens, bound.answerTokens)
	}
	model, adapter := splitModel(in.Model)
	return decodedRequest{
		prompt: entry.Prompt{Model: model, Adapter: adapter, MaxTokens: maxTokens, Seed: in.Seed},
		stream: in.Stream,
	}, nil
}

// splitModel splits a model name into model and adapter.
func splitModel(name string) (ident.Model, ident.Adapter) {
	if at := bytes.IndexByte([]byte(name), adapterSeparator); at > 0 {
		return ident.Model(name[:at]), ident.Adapter(name[at+1:])
	}
	return ident.Model(name), ""
}

// promptTokens returns the tokens of a prompt, which is a text, an array of one text, or
// an array of tokens.
func promptTokens(raw json.RawMessage, limit int) ([]uint32, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return nil, invalid("prompt", "is missing")
	}
	if raw[0] == '[' {
		return arrayTokens(raw, limit)
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return nil, invalid("prompt", "is neither a text nor an array of tokens")
	}
	return textTokens("prompt", nil, text, limit)
}

func arrayTokens(raw json.RawMessage, limit int) ([]uint32, error) {
	if first := bytes.TrimLeft(raw[1:], " \t\r\n"); len(first) == 0 || first[0] != '"' {
		return parseTokens(raw, limit)
	}
	var texts []string
	if err := json.Unmarshal(raw, &texts); err != nil || len(texts) != 1 {
		return nil, invalid("prompt", "is neither one text nor an array of tokens")
	}
	return textTokens("prompt", nil, texts[0], limit)
}

// textTokens appends the tokens of text to tokens.
func textTokens(field string, tokens []uint32, text string, limit int) ([]uint32, error) {
	tokens, err := tokenize.Words(tokens, text, limit)
	if errors.Is(err, tokenize.ErrTooManyTokens) {
		return nil, invalid(field, "has more than %d tokens", limit)
	}
	if len(tokens) == 0 {
		return nil, invalid(field, "has no tokens")
	}
	return tokens, nil
}

// roleMarker precedes the tokens of a message. Words of a text never contain control
// characters, so the content of a message can't imitate the start of another one.
const roleMarker = "\x00role:"

// chatTokens returns the tokens of a list of messages.
func chatTokens(messages []chatMessage, limit int) ([]uint32, error) {
	if len(messages) == 0 || len(messages) > maxMessages {
		return nil, invalid("messages", "must have 1 to %d messages, has %d", maxMessages, len(messages))
	}
	var tokens []uint32
	for i, message := range messages {
		field := fmt.Sprintf("messages[%d]", i)
		if message.Role == "" || len(message.Role) > maxModelName {
			return nil, invalid(field+".role", "must have 1 to %d bytes", maxModelName)
		}
		if len(tokens) >= limit {
			return nil, invalid(field, "the messages have more than %d tokens", limit)
		}
		tokens = append(tokens, tokenize.Token(roleMarker+message.Role))
		texts, err := contentTexts(message.Content)
		if err != nil {
			return nil, invalid(field+".content", "%s", err.Error())
		}
		for _, text := range texts {
			tokens, err = tokenize.Words(tokens, text, limit)
			if err != nil {
				return nil, invalid(field, "the messages have more than %d tokens", limit)
			}
		}
	}
	return tokens, nil
}

var (
	errContent = errors.New("is neither a text nor an array of text parts")
	errParts   = fmt.Errorf("has more than %d parts", maxParts)
)

// contentTexts returns the texts of a message's content, which is a text or an array of
// text parts.
func contentTexts(raw json.RawMessage) ([]string, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return nil, nil
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return nil, errContent
		}
		return []string{text}, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, errContent
	}
	if len(parts) > maxParts {
		return nil, errParts
	}
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		if part.Type != "text" {
			return nil, errContent
		}
		texts = append(texts, part.Text)
	}
	return texts, nil
}
