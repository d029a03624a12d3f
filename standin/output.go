package standin

import (
	"fmt"
	"hash/fnv"
)

// Tokens returns how many tokens a text has.
func Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Output returns the whole text that the engines generate for a prompt.
func Output(prompt string, limit int) string {
	text := ""
	for i := range OutputLength(prompt, limit) {
		text += TokenText(prompt, i)
	}
	return text
}

// OutputLength returns how many tokens the engines generate for a prompt.
func OutputLength(prompt string, limit int) int {
	if limit <= 1 {
		return 1
	}
	return limit/2 + int(textHash(prompt, -1)%uint64(limit-limit/2)) + 1
}

// TokenText returns the token with an index of the output for a prompt.
func TokenText(prompt string, i int) string { return fmt.Sprintf("w%x ", textHash(prompt, i)%4096) }

func textHash(prompt string, i int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", i, prompt)
	return h.Sum64()
}
