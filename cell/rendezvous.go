package cell

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lovagereach/lovagereach/ident"
)

// hashCell hashes a cell. The separators make ("ab","c") and ("a","bc") distinct.
func hashCell(c ident.Cell) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(c.Model))
	_, _ = d.Write([]byte{0, byte(c.Shard >> 8), byte(c.Shard)})
	_, _ = d.WriteString(string(c.DataCentre))
	return d.Sum64()
}

// score returns the rendezvous weight of a member for a key: the exclusive-or of both,
// mixed by the finaliser of splitmix64. The exclusive-or alone would rank the members
// similarly for related keys.
func score(member, key uint64) uint64 {
	x := member ^ key
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ShardOf returns an upstream's shard among those of its model and data centre. Adding a
// shard moves about 1/shards of the upstreams into it and none between existing shards.
func ShardOf(upstream ident.Upstream, shards int) uint16 {
	return uint16(highestScoring(xxhash.Sum64String(string(upstream)), shards))
}

// PromptShard returns the shard, among those of its model and data centre, of a prompt
// identified by the hash of its first block. Adding a shard moves as few prompts as ShardOf
// moves upstreams.
func PromptShard(firstBlock uint64, shards int) uint16 {
	return uint16(highestScoring(firstBlock, shards))
}

// highestScoring returns the number below n with the highest score for the key.
func highestScoring(key uint64, n int) int {
	best, bestScore := 0, uint64(0)
	for i := range n {
		if s := score(score(uint64(i), 0x9e3779b97f4a7c15), key); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
