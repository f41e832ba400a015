package upstream

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	contract "github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
)

// FuzzReply checks that arbitrary bytes from a leaf yield either verified items or
// an error without items, and that a manifest in them can be stored.
func FuzzReply(f *testing.F) {
	sub := poolSubrequest("r-1")
	f.Add([]byte(fullReply(sub, goodBody)))
	f.Add([]byte(fullReply(sub, `{"items":[1,{"a":[]},null]}`, "Draining: 1", "Hickorydock-Holdings: x")))
	f.Add([]byte("HTTP/1.1 410 Gone\r\nContent-Length: 153\r\n\r\n" +
		`{"leaf":"l","incarnation":1,"holdings":[{"service":"s","snapshot":{"map_generation":1,"index_version":1},"shard_count":4,"shards":[0,3,-1,4,3,9999999999]}]}`))
	f.Add([]byte("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil {
			return
		}
		defer response.Body.Close()
		client := New(DefaultConfig(), nil)
		defer client.Close()
		reply := client.readReply(response, goodVM, sub)
		if !reply.Sent {
			t.Error("got a reply to a request that was not sent")
		}
		if reply.Result == subrequest.OK {
			if reply.Err != nil || response.StatusCode != http.StatusOK || response.Header.Get(contract.HeaderRequestID) != sub.RequestID {
				t.Errorf("an unverified reply was accepted: %+v", reply)
			}
			return
		}
		if reply.Err == nil || reply.Items != nil {
			t.Errorf("result %d comes with error %v and items %s", reply.Result, reply.Err, reply.Items)
		}
		if reply.Manifest == nil {
			return
		}
		store := shardmap.NewStore(leaf.NewTable())
		store.SetManifest(goodVM, *reply.Manifest, time.Now())
		for _, holding := range reply.Manifest.Holdings {
			store.View(goodVM.Group, holding.Service)
		}
	})
}
