package fleet

import (
	"strconv"
	"strings"
)

// validAddress reports whether s is an IP address and a port from 1 to 65535,
// as "10.0.0.7:8080" or "[fd00::7]:8080". Host names are not addresses.
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
		if _, ok := decimal(part, 255); !ok {
			return false
		}
	}
	return true
}

// decimal parses digits without sign or leading zeros.
func decimal(s string, limit uint64) (uint64, bool) {
	if s == "" || len(s) > 1 && s[0] == '0' || s[0] < '0' || s[0] > '9' {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return n, err == nil && n <= limit
}

// validIPv6 accepts the groups of RFC 4291 without zone and without an
// embedded IPv4 address.
func validIPv6(s string) bool {
	const groups = 8
	head, tail, compressed := strings.Cut(s, "::")
	if !compressed {
		return ipv6Groups(s) == groups
	}
	before, after := 0, 0
	if head != "" {
		before = ipv6Groups(head)
	}
	if tail != "" {
		after = ipv6Groups(tail)
	}
	return before >= 0 && after >= 0 && before+after < groups
}

// ipv6Groups counts the colon-separated groups, or returns -1.
func ipv6Groups(s string) int {
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
