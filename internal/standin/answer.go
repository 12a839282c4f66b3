package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// AnswerKey is the hash of the prompt and the seed, which together determine an
// answer.
type AnswerKey uint64

// NewAnswerKey returns the key of the answer to a prompt.
func NewAnswerKey(tokens []uint32, seed uint64) AnswerKey {
	return AnswerKey(chainHash(seed, tokens))
}

// answerLetters is the alphabet of answer words; a letter encodes five bits.
const answerLetters = "abcdefghijklmnopqrstuvwxyz234567"

// answerWord is the length of an answer word, excluding the leading space.
const answerWord = 5

// Token returns the text of the token at index.
func (k AnswerKey) Token(index int) string {
	bits := mix(uint64(k) + uint64(index)*0x9e3779b97f4a7c15)
	word := [answerWord + 1]byte{' '}
	for i := range answerWord {
		word[i+1] = answerLetters[bits&31]
		bits >>= 5
	}
	return string(word[:])
}

// ExpectedAnswer returns the text of the n answer tokens of a stand-in engine to
// a prompt. A caller can thus verify that an answer is complete and belongs to
// its request.
func ExpectedAnswer(tokens []uint32, seed uint64, n int) string {
	key := NewAnswerKey(tokens, seed)
	var text strings.Builder
	for i := range n {
		text.WriteString(key.Token(i))
	}
	return text.String()
}

// mix is the output function of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chainHash returns the hash of tokens, seeded with the hash of the tokens
// before them.
func chainHash(before uint64, tokens []uint32) uint64 {
	digest := xxhash.NewWithSeed(before)
	var buf [4 * 256]byte
	for len(tokens) > 0 {
		n := min(len(tokens), len(buf)/4)
		for i, token := range tokens[:n] {
			binary.LittleEndian.PutUint32(buf[4*i:], token)
		}
		_, _ = digest.Write(buf[:4*n]) // a digest never fails
		tokens = tokens[n:]
	}
	return digest.Sum64()
}
