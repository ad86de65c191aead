// Package prefix computes the chain of block hashes of a prompt.
//
// Block i's hash covers the salt and all prompt bytes up to the end of block i,
// so equal hashes mean equal prefixes under equal tenant, model, adapter and
// weight version. The hashes are placement hints: the engine itself compares
// the salt and the text, so a collision costs a hit and never correctness.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed mean length of a token in bytes of prompt text.
// The routers have no tokenizer; limits and costs are in these units.
const BytesPerToken = 4

// Scope is everything that must be equal for two prompts to share cache blocks.
type Scope struct {
	Tenant        string
	Model         string
	Adapter       string
	WeightVersion string
}

// Salt is the digest of a Scope, in hex, as sent to engines.
type Salt string

// Salt returns the digest of the scope. Each field is length-prefixed so that
// no two scopes share an encoding.
func (s Scope) Salt() Salt {
	digest := sha256.New()
	var length [8]byte
	for _, field := range []string{s.Tenant, s.Model, s.Adapter, s.WeightVersion} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		digest.Write(length[:])
		digest.Write([]byte(field))
	}
	return Salt(hex.EncodeToString(digest.Sum(nil)))
}

// Chain holds the hashes of the full blocks of a prompt, first block first.
type Chain []uint64

// NewChain hashes the full blocks of prompt; a trailing part block is left out.
func NewChain(salt Salt, prompt string, blockBytes int) Chain {
	chain := make(Chain, 0, len(prompt)/blockBytes)
	parent := xxhash.Sum64String(string(salt))
	buffer := make([]byte, 8+blockBytes)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		binary.LittleEndian.PutUint64(buffer, parent)
		copy(buffer[8:], prompt[start:start+blockBytes])
		parent = xxhash.Sum64(buffer)
		chain = append(chain, parent)
	}
	return chain
}

// Family returns the hash that assigns the prompt to an index shard: that of
// its first block, or of the salt when the prompt has no full block.
func (c Chain) Family(salt Salt) uint64 {
	if len(c) == 0 {
		return xxhash.Sum64String(string(salt))
	}
	return c[0]
}

// Ticket names a whole prompt under its salt.
func Ticket(salt Salt, prompt string) uint64 {
	digest := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = digest.WriteString(string(salt))
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// IsAnchor tells whether the block at depth (1 for the first) is indexed at the stride.
// The first block is always an anchor, so that every family can be found.
func IsAnchor(depth, stride int) bool { return depth == 1 || depth%stride == 0 }

// Anchors returns the hashes of the indexed blocks with their depths.
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
	// Depth is the number of blocks from the start of the prompt to the end of this one.
	Depth int
}

// Tokens returns the number of tokens that a text of the given length in bytes counts as.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }
