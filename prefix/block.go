package prefix

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"

	"github.com/lovagereach/lovagereach/ident"
)

// BlockIDSize is the length of a block identity in bytes. 128 bits of a keyed
// hash make an accidental collision among 10^9 blocks less likely than 10^-20.
const BlockIDSize = 16

// KeySize is the length of a chain key in bytes.
const KeySize = 32

// DefaultBlockTokens is the number of tokens in one block.
const DefaultBlockTokens = 1000

// chainDomain separates these hashes from any other use of the same key. It must be
// changed with the layout of the hashed bytes.
const chainDomain = "lovagereach block chain 1"

// BlockID identifies a block of a prompt by its tokens, all preceding tokens and
// the scope in which they were computed.
type BlockID [BlockIDSize]byte

// ErrBlockID reports a block identity that is not 32 hexadecimal digits.
var ErrBlockID = errors.New("block id is not 32 hexadecimal digits")

// ParseBlockID reads the form written by String.
func ParseBlockID(text string) (BlockID, error) {
	var id BlockID
	if len(text) != hex.EncodedLen(BlockIDSize) {
		return BlockID{}, ErrBlockID
	}
	if _, err := hex.Decode(id[:], []byte(text)); err != nil {
		return BlockID{}, ErrBlockID
	}
	return id, nil
}

// String returns the identity as 32 hexadecimal digits.
func (b BlockID) String() string {
	return hex.EncodeToString(b[:])
}

// MarshalText implements encoding.TextMarshaler.
func (b BlockID) MarshalText() ([]byte, error) {
	return []byte(b.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *BlockID) UnmarshalText(text []byte) error {
	id, err := ParseBlockID(string(text))
	if err != nil {
		return err
	}
	*b = id
	return nil
}

// Key is a deployment's secret key for block identities. Without it, the identity of
// a block can't be computed from its guessed tokens.
type Key [KeySize]byte

// Scope has the properties that must be equal for two prompts to share blocks.
type Scope struct {
	Team    ident.Team
	Model   ident.Model
	Version ident.Version
	Adapter ident.Adapter
}

// Chain returns the identities of the full blocks of tokens, in order. A partial last
// block has no identity. A blockTokens below one means DefaultBlockTokens.
func Chain(key Key, scope Scope, tokens []uint32, blockTokens int) []BlockID {
	if blockTokens < 1 {
		blockTokens = DefaultBlockTokens
	}
	count := len(tokens) / blockTokens
	if count == 0 {
		return nil
	}
	hasher := newHasher(key)
	link := scopeLink(hasher, scope, blockTokens)
	blocks := make([]BlockID, count)
	buffer := make([]byte, 0, len(link)+4*blockTokens)
	for i := range blocks {
		buffer = append(buffer[:0], link[:]...)
		for _, token := range tokens[i*blockTokens : (i+1)*blockTokens] {
			buffer = binary.LittleEndian.AppendUint32(buffer, token)
		}
		link = sum(hasher, buffer)
		copy(blocks[i][:], link[:])
	}
	return blocks
}

// scopeLink returns the hash that precedes the first block in the chain. Each field is
// preceded by its length: without it, team "ab" with model "c" would hash like team "a" with
// model "bc" and two teams could share a block.
func scopeLink(hasher *blake3.Hasher, scope Scope, blockTokens int) [32]byte {
	var buffer []byte
	fields := [...]string{
		chainDomain,
		string(scope.Team),
		string(scope.Model),
		string(scope.Version),
		string(scope.Adapter),
	}
	for _, field := range fields {
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(len(field)))
		buffer = append(buffer, field...)
	}
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(blockTokens))
	return sum(hasher, buffer)
}

func newHasher(key Key) *blake3.Hasher {
	hasher, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(fmt.Sprintf("prefix: blake3 refused a key of %d bytes: %v", KeySize, err))
	}
	return hasher
}

func sum(hasher *blake3.Hasher, data []byte) [32]byte {
	var out [32]byte
	hasher.Reset()
	// Hasher.Write never returns an error.
	_, _ = hasher.Write(data)
	hasher.Sum(out[:0])
	return out
}
