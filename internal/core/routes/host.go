package routes

import "strings"

// normalHost returns the form in which hosts are compared: without a port, a final dot
// and the brackets of an IPv6 address, and with ASCII letters in lower case.
func normalHost(host string) string {
	if address, rest, ok := cutBrackets(host); ok && (rest == "" || rest[0] == ':') {
		host = address
	} else if strings.Count(host, ":") == 1 {
		host, _, _ = strings.Cut(host, ":")
	}
	if len(host) > 1 {
		host = strings.TrimSuffix(host, ".")
	}
	return lowerASCII(host)
}

// cutBrackets splits a host such as "[fd00::7]:80" into the address and the rest. It
// returns false if the host does not begin with an IPv6 address in brackets.
func cutBrackets(host string) (address, rest string, ok bool) {
	if !strings.HasPrefix(host, "[") {
		return "", "", false
	}
	address, rest, ok = strings.Cut(host[1:], "]")
	return address, rest, ok && strings.Contains(address, ":")
}

// lowerASCII is strings.ToLower for ASCII letters only: host names differ if others do.
func lowerASCII(s string) string {
	isUpper := func(r rune) bool { return 'A' <= r && r <= 'Z' }
	if strings.IndexFunc(s, isUpper) < 0 {
		return s
	}
	return strings.Map(func(r rune) rune {
		if isUpper(r) {
			return r + 'a' - 'A'
		}
		return r
	}, s)
}
