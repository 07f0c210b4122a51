package route

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hornbeamcove.example/core/wire"
)

// prefixWords is the number of words of a prompt that are compared, the size of
// the first block of an engine's prefix cache.
const prefixWords = 16

// PrefixFingerprint returns the fingerprint of the start of a prompt, or nothing for a
// prompt that is too short to be cached. Router and agent compute it alike.
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
