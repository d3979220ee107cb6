package fleet

import (
	"strconv"
	"strings"
)

// validAddress reports whether s is an IP address and a port from 1 to 65535,
// such as "10.0.0.7:8080" or "[fd00::7]:8080". Host names are not accepted.
func validAddress(s string) bool {
	colon := strings.LastIndexByte(s, ':')
	if colon < 0 || !validPort(s[colon+1:]) {
		return false
	}
	host := s[:colon]
	if strings.HasPrefix(host, "[") && strings.HasSuffix(host, "]") {
		return validIPv6(host[1 : len(host)-1])
	}
	return validIPv4(host)
}

func validPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && n > 0
}

func validIPv4(s string) bool {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return false
	}
	for _, part := range parts {
		if _, ok := parseDecimal(part, 255); !ok {
			return false
		}
	}
	return true
}

// parseDecimal parses a decimal number of at most limit, without a sign or
// leading zeros.
func parseDecimal(s string, limit uint64) (uint64, bool) {
	if s == "" || len(s) > 1 && s[0] == '0' || s[0] < '0' || s[0] > '9' {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil && n <= limit
}

// validIPv6 reports whether s is an IPv6 address in the text form of RFC 4291,
// without a scope zone and without an embedded IPv4 address.
func validIPv6(s string) bool {
	const groups = 8
	head, tail, compressed := strings.Cut(s, "::")
	if !compressed {
		return countIPv6Groups(s) == groups
	}
	before, after := 0, 0
	if head != "" {
		before = countIPv6Groups(head)
	}
	if tail != "" {
		after = countIPv6Groups(tail)
	}
	return before >= 0 && after >= 0 && before+after < groups
}

// countIPv6Groups returns the number of colon-separated groups, or -1 if one of
// them is malformed.
func countIPv6Groups(s string) int {
	parts := strings.Split(s, ":")
	for _, part := range parts {
		if len(part) == 0 || len(part) > 4 {
			return -1
		}
		if strings.Trim(part, "0123456789abcdefABCDEF") != "" {
			return -1
		}
	}
	return len(parts)
}
