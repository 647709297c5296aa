// Package fake holds stand-ins for the systems outside spoolbank: a model
// engine, a plain service, the platform's list of VMs and a slow or severed
// link. They speak the protocols of docs/TARGETS.md and nothing more.
package fake

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/core/config"
)

// The fake model's arithmetic proves an answer. Each layer folds its number,
// the position and its state into a digest, and the digest after the last
// layer becomes the token. A layer that is skipped, doubled, run out of order
// or on the wrong state changes every token that follows.

// vocabulary is the number of tokens; every stopEvery-th of them ends an answer.
const (
	vocabulary = 50000
	stopEvery  = 401
)

// mix is one round of a 64-bit hash (the finaliser of splitmix64).
func mix(a, b uint64) uint64 {
	z := a + 0x9e3779b97f4a7c15*(b+1)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// cache is the state of a range of layers: one digest for each of them.
type cache struct {
	layers config.Range
	state  []uint64
}

func newCache(layers config.Range) cache {
	return cache{layers: layers, state: make([]uint64, layers.Len())}
}

// run takes one position through the range.
func (c *cache) run(position int, activation uint64) uint64 {
	for i := range c.state {
		layer := uint64(c.layers.First + i)
		next := mix(mix(activation, layer), mix(uint64(position), c.state[i]))
		c.state[i] = mix(c.state[i], activation)
		activation = next
	}
	return activation
}

// inputs returns the activations before the first layer.
func inputs(prompt string) []uint64 {
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

func inputOf(t core.Token) uint64 { return mix(uint64(t.ID), 1) }

// tokenOf returns the token that the digest after the last layer stands for.
func tokenOf(activation uint64) (core.Token, string) {
	id := uint32(activation % vocabulary)
	finish := ""
	if id%stopEvery == 0 {
		finish = core.FinishStop
	}
	return core.Token{ID: id, Text: wordOf(id)}, finish
}

// wordOf writes a token as syllables.
func wordOf(id uint32) string {
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

// Expected returns the answer to a prompt: a pure function, whichever engines
// have run it.
func Expected(prompt string, layers, maxTokens int) (text, finish string) {
	c := newCache(config.Range{Last: layers})
	var out strings.Builder
	var last uint64
	position := 0
	for _, activation := range inputs(prompt) {
		last = c.run(position, activation)
		position++
	}
	for count := 1; ; count++ {
		token, finish := tokenOf(last)
		out.WriteString(token.Text)
		if finish != "" {
			return out.String(), finish
		}
		if count >= maxTokens {
			return out.String(), core.FinishLength
		}
		last = c.run(position, inputOf(token))
		position++
	}
}
