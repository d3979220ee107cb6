package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// BytesPerToken is the number of prompt bytes that count as one token.
const BytesPerToken = 4

// PrefixBytes is the length of the prompt prefix that a prefix hash covers.
const PrefixBytes = 1024

// PromptKey returns the first 8 hexadecimal digits of the prompt's SHA-256,
// which every token of its answer starts with.
func PromptKey(prompt string) string {
	return digest(prompt)[:8]
}

// Token returns token number index of the answer to the prompt with the key.
func Token(key string, index int) string {
	return key + "-" + strconv.Itoa(index) + " "
}

// Answer returns the whole answer of the given number of tokens to a prompt.
func Answer(prompt string, tokens int) string {
	key := PromptKey(prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(key, i))
	}
	return text.String()
}

// PrefixHash returns the prefix hash of a prompt: 16 hexadecimal digits.
func PrefixHash(prompt string) string {
	return digest(prompt[:min(len(prompt), PrefixBytes)])[:16]
}

// PromptTokens returns the number of tokens that a prompt counts as.
func PromptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
