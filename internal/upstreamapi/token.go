package upstreamapi

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/lovagereach/lovagereach/ident"
)

// TokenCodec encodes and decodes the token events of one attempt, which are
// CompletionChunks. The part that is equal in all events is encoded once, since an
// entry's work grows with the number of tokens.
type TokenCodec struct {
	head []byte
}

const (
	textKey  = `,"text":"`
	tokenEnd = `"}]}`
)

// NewTokenCodec returns the codec of an attempt.
func NewTokenCodec(request ident.Request, attempt uint32) *TokenCodec {
	head := append([]byte(`{"id":"`), request.String()...)
	head = append(head, `","attempt":`...)
	head = strconv.AppendUint(head, uint64(attempt), 10)
	head = append(head, `,"choices":[{"index":0,"token_index":`...)
	return &TokenCodec{head: head}
}

// Append appends the JSON of a token to buf.
func (c *TokenCodec) Append(buf []byte, index int, text string) []byte {
	buf = append(buf, c.head...)
	buf = strconv.AppendInt(buf, int64(index), 10)
	if !needsNoEscape([]byte(text)) {
		buf = append(buf, `,"text":`...)
		quoted, err := json.Marshal(text)
		if err != nil {
			panic("upstreamapi: a string does not encode: " + err.Error())
		}
		buf = append(buf, quoted...)
		return append(buf, tokenEnd[1:]...)
	}
	buf = append(buf, textKey...)
	buf = append(buf, text...)
	return append(buf, tokenEnd...)
}

// maxIndexDigits bounds the digits of an index, so that it fits in an int.
const maxIndexDigits = 9

// Parse decodes a token event of this attempt in exactly the form that Append writes.
// For all other input ok is false, and the event must be decoded as general JSON.
func (c *TokenCodec) Parse(data []byte) (index int, text string, ok bool) {
	rest, ok := bytes.CutPrefix(data, c.head)
	if !ok {
		return 0, "", false
	}
	digits := 0
	for digits < len(rest) && digits < maxIndexDigits && rest[digits] >= '0' && rest[digits] <= '9' {
		index = index*10 + int(rest[digits]-'0')
		digits++
	}
	if digits == 0 || (digits > 1 && rest[0] == '0') {
		return 0, "", false
	}
	if rest, ok = bytes.CutPrefix(rest[digits:], []byte(textKey)); !ok {
		return 0, "", false
	}
	if rest, ok = bytes.CutSuffix(rest, []byte(tokenEnd)); !ok || !needsNoEscape(rest) {
		return 0, "", false
	}
	return index, string(rest), true
}

// needsNoEscape reports whether text is encoded as itself in a JSON string.
func needsNoEscape(text []byte) bool {
	for _, char := range text {
		if char < ' ' || char >= 0x7f || char == '"' || char == '\\' {
			return false
		}
	}
	return true
}
