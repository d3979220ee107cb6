package codec

import (
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

// ServersToWire converts a list of backend servers.
func ServersToWire(servers []discovery.Server) []*wire.ListedServer {
	list := make([]*wire.ListedServer, 0, len(servers))
	for _, s := range servers {
		list = append(list, &wire.ListedServer{
			Instance: s.Instance, Service: s.Service, Address: s.Address, Zone: s.Zone,
			Slots: int32(s.Slots), Leaving: s.Leaving, Reclaimable: s.Reclaimable, Software: s.Software,
		})
	}
	return list
}

// ServersFromWire is the inverse of ServersToWire.
func ServersFromWire(list []*wire.ListedServer) []discovery.Server {
	servers := make([]discovery.Server, 0, len(list))
	for _, s := range list {
		servers = append(servers, discovery.Server{
			Instance: s.Instance, Service: s.Service, Address: s.Address, Zone: s.Zone,
			Slots: int(s.Slots), Leaving: s.Leaving, Reclaimable: s.Reclaimable, Software: s.Software,
		})
	}
	return servers
}
