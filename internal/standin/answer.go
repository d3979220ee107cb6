package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// BytesPerToken is the number of prompt bytes counted as one token.
const BytesPerToken = 4

// PrefixBytes is the length of the prompt prefix that a prefix hash covers.
const PrefixBytes = 1024

// PromptKey returns the first 8 hexadecimal digits of the prompt's SHA-256 hash.
// Every token of the prompt's answer starts with them.
func PromptKey(prompt string) string {
	return digest(prompt)[:8]
}

// Token returns the token at the index in the answer to the prompt with the key.
func Token(key string, index int) string {
	return key + "-" + strconv.Itoa(index) + " "
}

// Answer returns the complete answer to a prompt, of the given number of tokens.
func Answer(prompt string, tokens int) string {
	key := PromptKey(prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(key, i))
	}
	return text.String()
}

// PrefixHash returns the first 16 hexadecimal digits of the SHA-256 hash of the
// prompt's first PrefixBytes bytes.
func PrefixHash(prompt string) string {
	return digest(prompt[:min(len(prompt), PrefixBytes)])[:16]
}

// PromptTokens returns the number of tokens in a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// digest returns the SHA-256 hash of a text in hexadecimal.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
