// Package fake implements fakes of the systems outside spoolbank: a model
// engine, a plain service, the platform's list of VMs and a slow or severed
// link. They implement only the protocols of docs/TARGETS.md.
package fake

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
)

// The arithmetic of the fake model makes answers verifiable. Each layer hashes
// its number, the position and its state into a digest, and the digest after
// the last layer determines the token. A layer that is skipped, run twice, out
// of order or on the wrong state changes every later token.

// vocabularySize is the number of tokens. A token ID that is divisible by stopEvery
// ends an answer.
const (
	vocabularySize = 50000
	stopEvery      = 401
)

// mix is one round of a 64-bit hash (the finaliser of splitmix64).
func mix(a, b uint64) uint64 {
	z := a + 0x9e3779b97f4a7c15*(b+1)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// cache is the state of a range of layers, one digest per layer.
type cache struct {
	layers config.Range
	state  []uint64
}

func newCache(layers config.Range) cache {
	return cache{layers: layers, state: make([]uint64, layers.Len())}
}

// run runs one position through the range and returns its activation.
func (c *cache) run(position int, activation uint64) uint64 {
	for i := range c.state {
		layer := uint64(c.layers.First + i)
		next := mix(mix(activation, layer), mix(uint64(position), c.state[i]))
		c.state[i] = mix(c.state[i], activation)
		activation = next
	}
	return activation
}

// promptActivations returns the activations of a prompt before the first layer, one per word.
func promptActivations(prompt string) []uint64 {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		words = []string{""}
	}
	activations := make([]uint64, len(words))
	for i, w := range words {
		activations[i] = xxhash.Sum64String(w)
	}
	return activations
}

func tokenActivation(t core.Token) uint64 { return mix(uint64(t.ID), 1) }

// decodeToken returns the token for the digest after the last layer, and the finish
// reason if it ends the answer.
func decodeToken(activation uint64) (core.Token, string) {
	id := uint32(activation % vocabularySize)
	finish := ""
	if id%stopEvery == 0 {
		finish = core.FinishStop
	}
	return core.Token{ID: id, Text: tokenText(id)}, finish
}

// tokenText returns the text of a token, three syllables.
func tokenText(id uint32) string {
	const consonants, vowels = "bdfgklmnprstvz", "aeiou"
	var b strings.Builder
	for range 3 {
		b.WriteByte(consonants[id%uint32(len(consonants))])
		id /= uint32(len(consonants))
		b.WriteByte(vowels[id%uint32(len(vowels))])
		id /= uint32(len(vowels))
	}
	b.WriteByte(' ')
	return b.String()
}

// Expected returns the answer to a prompt. It depends only on its arguments, not
// on the engines that run the layers.
func Expected(prompt string, layers, maxTokens int) (text, finish string) {
	c := newCache(config.Range{Last: layers})
	var out strings.Builder
	var last uint64
	position := 0
	for _, activation := range promptActivations(prompt) {
		last = c.run(position, activation)
		position++
	}
	for count := 1; ; count++ {
		token, finish := decodeToken(last)
		out.WriteString(token.Text)
		if finish != "" {
			return out.String(), finish
		}
		if count >= maxTokens {
			return out.String(), core.FinishLength
		}
		last = c.run(position, tokenActivation(token))
		position++
	}
}
