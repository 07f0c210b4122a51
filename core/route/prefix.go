package route

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

// prefixWords is the number of leading words of a prompt that are hashed. It is the
// size of the first block of an engine's prefix cache.
const prefixWords = 16

// PrefixFingerprint returns the fingerprint of the first 16 words of a prompt, or ""
// for a shorter prompt, which is not cached. Router and agent must compute the same
// value.
func PrefixFingerprint(prompt string) wire.Fingerprint {
	h := xxhash.New()
	n := 0
	for w := range strings.FieldsSeq(prompt) {
		_, _ = h.WriteString(w)
		_, _ = h.WriteString(" ")
		if n++; n == prefixWords {
			return wire.Fingerprint(strconv.FormatUint(h.Sum64(), 16))
		}
	}
	return ""
}
