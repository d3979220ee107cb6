package replica

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/wire"
)

// routingDocument returns a document with a number of routes, the middle one of which
// names the given service.
func routingDocument(number uint64, count int, service string) []byte {
	var content bytes.Buffer
	fmt.Fprintf(&content, `{"version":%d,"routes":[`, number)
	for i := range count {
		name := "app"
		if i == count/2 {
			name = service
		}
		if i > 0 {
			content.WriteByte(',')
		}
		fmt.Fprintf(&content, `{"name":"route-%d","host":"h%d.example","path_prefix":"/v1/","type":"safe","timeout_ms":1500,"slo_ms":150,"service":%q,"attempts":2}`, i, i, name)
	}
	content.WriteString(`],"services":[{"name":"app"},{"name":"other"}],"tenants":[]}`)
	return content.Bytes()
}

// maxChangeBytes is the most that an entry may receive for one changed route.
const maxChangeBytes = 4 << 10

// One changed route of 10,000 costs an entry few bytes, not the whole document.
func TestOneChangedRouteSendsFewBytes(t *testing.T) {
	const count = 10_000
	leader := startReplicas(t, 1)
	if _, err := putDocument(t, leader, 1, string(routingDocument(1, count, "app"))); err != nil {
		t.Fatal(err)
	}
	first, err := leader.Service().FetchConfig(context.Background(), &wire.FetchConfigRequest{TakesDocument: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := putDocument(t, leader, 2, string(routingDocument(2, count, "other"))); err != nil {
		t.Fatal(err)
	}
	second, err := leader.Service().FetchConfig(context.Background(), &wire.FetchConfigRequest{
		HaveRevision: first.Revision, TakesDocument: true, HeldNumber: first.Document.Number, HeldDigest: first.Document.Digest,
	})
	if err != nil {
		t.Fatal(err)
	}
	want := docdiff.Parse(routingDocument(2, count, "other"), nil)
	held := docdiff.Parse(routingDocument(1, count, "app"), nil)
	if got, err := docdiff.Apply(held, second.Document.Delta, want.Digest()); err != nil || !bytes.Equal(got.Bytes(), want.Bytes()) {
		t.Errorf("got error %v, want the document as sent", err)
	}
	t.Logf("%d bytes", proto.Size(second))
	if size := proto.Size(second); size > maxChangeBytes {
		t.Errorf("got %d bytes for one changed route of %d, want at most %d", size, count, maxChangeBytes)
	}
}

// An entry of the previous version, which takes no document separately, gets whole documents as before.
func TestEntryOfPreviousVersionGetsWholeDocument(t *testing.T) {
	leader := startReplicas(t, 1)
	content := routingDocument(1, 100, "app")
	if _, err := putDocument(t, leader, 1, string(content)); err != nil {
		t.Fatal(err)
	}
	response, err := leader.Service().FetchConfig(context.Background(), &wire.FetchConfigRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if response.Document != nil || len(response.Deltas) != 1 || !bytes.Contains(response.Deltas[0].Items[0].Json, content) {
		t.Errorf("got %d deltas and a document of %d bytes, want the whole document in a delta", len(response.Deltas), response.Document.GetSize())
	}
}
