package standin

import (
	"fmt"
	"hash/fnv"
)

// Tokens returns the number of tokens in text, at bytesPerToken bytes each, rounded up.
func Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Output returns the complete text that engines generate for a prompt with limit as the maximum
// number of tokens. It depends on the arguments only, so tests can compute the expected output.
func Output(prompt string, limit int) string {
	text := ""
	for i := range OutputLength(prompt, limit) {
		text += TokenText(prompt, i)
	}
	return text
}

// OutputLength returns the number of tokens that engines generate for a prompt, at most limit but
// at least 1.
func OutputLength(prompt string, limit int) int {
	if limit <= 1 {
		return 1
	}
	return limit/2 + int(textHash(prompt, -1)%uint64(limit-limit/2)) + 1
}

// TokenText returns the token at index i of the output for a prompt.
func TokenText(prompt string, i int) string { return fmt.Sprintf("w%x ", textHash(prompt, i)%4096) }

func textHash(prompt string, i int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", i, prompt)
	return h.Sum64()
}
