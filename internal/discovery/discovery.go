// Package discovery defines the entries of the platform's list of backend servers.
package discovery

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Server is one backend server of the list. Version hashes the names of its
// fields, so renaming one changes the versions that processes compare.
type Server struct {
	// Instance identifies one run of the server.
	Instance string
	Service  string
	// Address is an IP address and port.
	Address string
	Zone    string
	// Slots is the number of requests that the server can run concurrently.
	Slots int
	// Leaving is true if the server must not get new requests.
	Leaving bool
	// Reclaimable is true if the platform may reclaim the server.
	Reclaimable bool
	// Software is the version of the server's software. A list of an older build has
	// none; the empty version is one of its own.
	Software string
}

// Version returns a hash of the content of a list that does not depend on its
// order and is never 0. Lists with the same version are treated as equal.
func Version(servers []Server) uint64 {
	sum := uint64(1)
	for _, s := range servers {
		sum += xxhash.Sum64String(fmt.Sprintf("%+v", s))
	}
	return max(sum, 1)
}
