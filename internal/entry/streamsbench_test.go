package entry

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/news"
	"waxwingcart/internal/wire"
)

// Size of the deployment in BenchmarkStreamRecords.
const (
	benchEntries       = 80
	benchZones         = 4
	benchStreamsPerSec = 500
	benchLifetime      = time.Minute
)

// queueConn is a socket whose datagrams wait in a queue.
type queueConn struct {
	net.PacketConn
	queue *[]queuedDatagram
}

type queuedDatagram struct {
	to   string
	data []byte
}

func (c queueConn) WriteTo(data []byte, to net.Addr) (int, error) {
	*c.queue = append(*c.queue, queuedDatagram{to.String(), data})
	return len(data), nil
}

// benchDeployment is the entries of a deployment without their sockets.
type benchDeployment struct {
	entries []*Entry
	byPeer  map[string]*Entry
	queue   []queuedDatagram
	// lost, if set, reports whether a datagram is lost.
	lost func() bool
	// datagrams and bytes count what all entries have sent.
	datagrams, bytes int
}

func newBenchDeployment() *benchDeployment {
	d := &benchDeployment{byPeer: make(map[string]*Entry)}
	var peers []*wire.EntryPeer
	for i := range benchEntries {
		peers = append(peers, &wire.EntryPeer{Address: fmt.Sprintf("10.0.0.%d:7600", i+1), Zone: fmt.Sprintf("zone-%d", i%benchZones)})
	}
	for i, peer := range peers {
		e := newBroadcastEntry("")
		e.incarnation = uint64(time.Now().UnixNano()) + uint64(i)
		e.opts.PeerAddress, e.opts.Zone = peer.Address, peer.Zone
		e.broadcaster = newBroadcaster(e)
		e.broadcaster.setPeers(peers)
		d.entries = append(d.entries, e)
		d.byPeer[peer.Address] = e
	}
	return d
}

// tick sends and delivers the updates of one batch delay.
func (d *benchDeployment) tick(b *testing.B, timeOfDay time.Duration) {
	for _, e := range d.entries {
		for _, batch := range e.broadcaster.takePending(timeOfDay) {
			e.broadcaster.send(news.NewSocket(queueConn{queue: &d.queue}, news.Signer{}, e.logger), batch)
		}
	}
	queue := d.queue
	d.queue = nil
	for _, datagram := range queue {
		d.datagrams++
		d.bytes += len(datagram.data)
		if d.lost != nil && d.lost() {
			continue
		}
		var batch wire.NewsBatch
		if err := proto.Unmarshal(datagram.data, &batch); err != nil {
			b.Fatal(err)
		}
		d.byPeer[datagram.to].broadcaster.handleBatch(&batch)
	}
}

// run plays streams for a number of ticks. With placed, each stream is also announced to
// placement, as without records; with recorded, its record is told.
func (d *benchDeployment) run(b *testing.B, ticks int, placed, recorded bool) (streams int) {
	for tick := range ticks {
		for range benchStreamsPerSec * int(batchDelay/time.Millisecond) / 1000 {
			e := d.entries[(streams*7919)%len(d.entries)]
			streams++
			if placed {
				e.broadcaster.placed(placement.Job{
					ID: placement.JobID{Origin: e.incarnation, Number: uint64(streams)}, Server: "i-7f3a91c2", Work: 1234.5, Memory: 1500, UncachedTokens: 700,
					Parts: []placement.Part{{Chain: 1 << 60, Tokens: 800}, {Chain: 1 << 61, Tokens: 410}},
				})
			}
			if recorded {
				id := streamID("hule930", fmt.Sprintf("%016x", streams))
				e.streams.begun(id, lineage.Version{Service: "huvo11a", Name: "v1.2"}, "i-0", benchLifetime)
			}
		}
		d.tick(b, time.Duration(tick)*batchDelay)
	}
	for _, e := range d.entries {
		e.streams.repeat()
	}
	d.tick(b, time.Duration(ticks)*batchDelay)
	d.tick(b, time.Duration(ticks)*batchDelay)
	return streams
}

// BenchmarkStreamRecords reports what the records of 500 streams/s cost a deployment of
// 80 entries in 4 zones: datagrams and bytes of all entries per stream, with and without
// records beside the announcements of placement.
func BenchmarkStreamRecords(b *testing.B) {
	const ticks = 100
	for _, c := range []struct {
		name             string
		placed, recorded bool
	}{{"placed", true, false}, {"placed+recorded", true, true}, {"recorded", false, true}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				d := newBenchDeployment()
				streams := d.run(b, ticks, c.placed, c.recorded)
				known := 0
				for _, e := range d.entries {
					known += e.streams.book.Len()
				}
				b.ReportMetric(float64(d.datagrams)/float64(streams), "datagrams/stream")
				b.ReportMetric(float64(d.bytes)/float64(streams), "bytes/stream")
				b.ReportMetric(float64(known)/float64(streams*benchEntries), "known/stream/entry")
			}
		})
	}
}

// BenchmarkStreamMemory reports the memory of the records that an entry holds while 500
// streams/s can be taken up for a minute each, and the size of a starting entry's
// question.
func BenchmarkStreamMemory(b *testing.B) {
	const records = benchStreamsPerSec * int(benchLifetime/time.Second)
	for range b.N {
		e := newBroadcastEntry("")
		now := e.now()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		book := lineage.New()
		for i := range records {
			book.Note(now, streamID("hule930", fmt.Sprint(i)), lineage.Version{Service: "huvo11a", Name: "v1.2"}, benchLifetime, lineage.SourceEntry)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		e.streams.book = book
		response, err := e.PeerService().Streams(b.Context(), nil)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(records), "heap-B/record")
		b.ReportMetric(float64(proto.Size(response))/float64(records), "answer-B/record")
	}
}
