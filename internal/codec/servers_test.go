package codec

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

// A list keeps all attributes of its servers, and the list of an older build, which
// has no versions of software, is still read.
func TestListOfServers(t *testing.T) {
	list := []discovery.Server{{
		Instance: "i-1", Service: "models", Address: "10.0.0.1:80", Zone: "a", Slots: 8,
		Leaving: true, Reclaimable: true, Software: "v1.2",
	}}
	if got := ServersFromWire(ServersToWire(list)); !slices.Equal(got, list) {
		t.Errorf("got %+v, expected %+v", got, list)
	}
	older := &wire.ListedServer{Instance: "i-1", Service: "models", Address: "10.0.0.1:80", Zone: "a", Slots: 8, Leaving: true, Reclaimable: true}
	data, err := proto.Marshal(older)
	if err != nil {
		t.Fatal(err)
	}
	var read wire.ListedServer
	if err := proto.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	list[0].Software = ""
	if got := ServersFromWire([]*wire.ListedServer{&read}); !slices.Equal(got, list) {
		t.Errorf("list of an older build: got %+v, expected %+v", got, list)
	}
}
