// Package prefix computes the hash chain of a prompt's cache blocks.
//
// The hash of block i covers the salt and all prompt bytes up to the end of block i, so equal
// hashes mean equal prefixes for the same tenant, model, adapter and weight version. The hashes
// are only placement hints: the engine compares the salt and the text itself, so a collision can
// cause a cache miss but never a wrong answer.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed mean number of prompt bytes per token. Routers have no tokenizer,
// so limits and costs are expressed in tokens estimated this way.
const BytesPerToken = 4

// Scope lists the properties that must match for two prompts to share cache blocks.
type Scope struct {
	Tenant        string
	Model         string
	Adapter       string
	WeightVersion string
}

// Salt is the SHA-256 digest of a Scope in hex, as sent to engines.
type Salt string

// Salt returns the digest of the scope. Each field is length-prefixed, so that different scopes
// never have the same encoding.
func (s Scope) Salt() Salt {
	digest := sha256.New()
	var lengthPrefix [8]byte
	for _, field := range []string{s.Tenant, s.Model, s.Adapter, s.WeightVersion} {
		binary.LittleEndian.PutUint64(lengthPrefix[:], uint64(len(field)))
		digest.Write(lengthPrefix[:])
		digest.Write([]byte(field))
	}
	return Salt(hex.EncodeToString(digest.Sum(nil)))
}

// Chain holds the hashes of a prompt's full blocks, starting with the first block.
type Chain []uint64

// NewChain hashes the full blocks of prompt. A trailing partial block is ignored.
func NewChain(salt Salt, prompt string, blockBytes int) Chain {
	chain := make(Chain, 0, len(prompt)/blockBytes)
	parent := xxhash.Sum64String(string(salt))
	input := make([]byte, 8+blockBytes)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		binary.LittleEndian.PutUint64(input, parent)
		copy(input[8:], prompt[start:start+blockBytes])
		parent = xxhash.Sum64(input)
		chain = append(chain, parent)
	}
	return chain
}

// Family returns the hash that selects the index shard of the prompt. It is the hash of the first
// block, or the hash of the salt if the prompt has no full block. Prompts of the same salt that
// start with the same block belong to the same family.
func (c Chain) Family(salt Salt) uint64 {
	if len(c) == 0 {
		return xxhash.Sum64String(string(salt))
	}
	return c[0]
}

// PromptDigest returns a hash of the salt and the whole prompt. It identifies a refused request
// when the caller retries it.
func PromptDigest(salt Salt, prompt string) uint64 {
	digest := xxhash.New()
	// Writes to an xxhash digest never fail.
	_, _ = digest.WriteString(string(salt))
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// IsAnchor reports whether the block at depth, counted from 1, is indexed at the given stride. The
// first block is always an anchor, so that the index can find every family.
func IsAnchor(depth, stride int) bool { return depth == 1 || depth%stride == 0 }

// Anchors returns the indexed blocks of the chain with their depths.
func (c Chain) Anchors(stride int) []Anchor {
	anchors := make([]Anchor, 0, len(c)/stride+1)
	for i, hash := range c {
		if IsAnchor(i+1, stride) {
			anchors = append(anchors, Anchor{Hash: hash, Depth: i + 1})
		}
	}
	return anchors
}

// Anchor is one indexed block of a chain.
type Anchor struct {
	Hash uint64
	// Depth is the number of blocks from the start of the prompt up to and including this one.
	Depth int
}

// EstimateTokens returns the assumed number of tokens in a text of byteCount bytes, rounded up.
func EstimateTokens(byteCount int) int { return (byteCount + BytesPerToken - 1) / BytesPerToken }
