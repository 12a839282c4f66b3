// Package tokenize implements the deterministic tokenizer that entries and engines
// of a deployment share: each word and each other visible character is one token.
// Tokens are hashes, so no vocabulary has to be distributed, and equal texts have
// equal tokens on every host.
//
// An engine with its own vocabulary receives prompts as token arrays.
package tokenize

import (
	"errors"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// ErrTooManyTokens reports a text with more tokens than the caller's limit.
var ErrTooManyTokens = errors.New("text has more tokens than allowed")

// Words appends the tokens of text to tokens. It stops with ErrTooManyTokens when the
// result would be longer than limit, which bounds the cost of a hostile text.
func Words(tokens []uint32, text string, limit int) ([]uint32, error) {
	for len(text) > 0 {
		size := nextLen(text)
		piece := text[:size]
		text = text[size:]
		if isSpace(piece) {
			continue
		}
		if len(tokens) >= limit {
			return tokens, ErrTooManyTokens
		}
		tokens = append(tokens, Token(piece))
	}
	return tokens, nil
}

// Token returns the token of one word or character.
func Token(word string) uint32 {
	return uint32(xxhash.Sum64String(word))
}

// nextLen returns the length in bytes of the first word or character of text.
func nextLen(text string) int {
	first, size := utf8.DecodeRuneInString(text)
	if !isWord(first) {
		return size
	}
	for size < len(text) {
		char, width := utf8.DecodeRuneInString(text[size:])
		if !isWord(char) {
			break
		}
		size += width
	}
	return size
}

func isWord(char rune) bool {
	return char == '_' || unicode.IsLetter(char) || unicode.IsDigit(char)
}

func isSpace(piece string) bool {
	char, _ := utf8.DecodeRuneInString(piece)
	return unicode.IsSpace(char)
}
