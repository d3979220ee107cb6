package eventid

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of property tests, unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func drawID(t *rapid.T) ID {
	text := rapid.StringN(0, 40, 80)
	return ID{
		Service:     text.Draw(t, "service"),
		Server:      text.Draw(t, "server"),
		Incarnation: text.Draw(t, "incarnation"),
		Stream:      text.Draw(t, "stream"),
		Offset:      rapid.Uint64().Draw(t, "offset"),
		Sum:         rapid.Uint64().Draw(t, "sum"),
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := drawID(t)
		codec := NewCodec([]byte("key"), Binding{Customer: "heirs"})
		got, err := codec.Decode(codec.Encode(id))
		if err != nil || got != id {
			t.Fatalf("decoded %+v, %v; want %+v", got, err, id)
		}
	})
}

// An ID is rejected for another customer, request or key, and if a byte was changed.
func TestForgedIDIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := NewCodec([]byte("key"), Binding{Customer: "heirs"}).Encode(drawID(t))
		var digest [32]byte
		digest[0] = 1
		others := []*Codec{
			NewCodec([]byte("key"), Binding{Customer: "clerks"}),
			NewCodec([]byte("key"), Binding{Customer: "heirs", Digest: digest}),
			NewCodec([]byte("another"), Binding{Customer: "heirs"}),
		}
		for i, codec := range others {
			if _, err := codec.Decode(text); err != ErrForged {
				t.Fatalf("codec %d: got error %v, want ErrForged", i, err)
			}
		}
		changed := []byte(text)
		at := rapid.IntRange(0, len(text)-2).Draw(t, "at")
		changed[at] = 'A' + (changed[at]-'A'+1)%26
		if id, err := NewCodec([]byte("key"), Binding{Customer: "heirs"}).Decode(string(changed)); err == nil {
			t.Fatalf("accepted a changed ID as %+v", id)
		}
	})
}

func FuzzDecode(f *testing.F) {
	codec := NewCodec([]byte("key"), Binding{Customer: "heirs"})
	f.Add(codec.Encode(ID{Service: "dossiers", Server: "e1", Stream: "s", Offset: 7}))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := codec.Decode(text)
		if err == nil && codec.Encode(id) == "" {
			t.Fatal("accepted an ID that does not encode")
		}
	})
}
