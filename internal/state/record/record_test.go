package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
)

var start = time.Unix(1_000_000, 0)

func settled(id string) command.Record {
	return command.Record{RequestID: id, State: command.StateUnknown, SettledAt: start}
}

func TestSettledRecordsExpireAfterRetention(t *testing.T) {
	c := New(1<<20, time.Hour)
	c.Put("settled", settled("a"))
	c.Put("pending", command.Record{RequestID: "b", State: command.StateClaimed})
	if r, ok := c.Get("settled", start.Add(time.Hour-1)); !ok || r.RequestID != "a" {
		t.Errorf("got %+v, %v", r, ok)
	}
	if _, ok := c.Get("settled", start.Add(time.Hour)); ok {
		t.Error("a record was returned after its retention")
	}
	if _, ok := c.Get("pending", start); ok {
		t.Error("a record that is not settled was stored")
	}
}

func TestCacheIsBounded(t *testing.T) {
	const perShard = 4
	c := New(shardCount*perShard*recordBytes, time.Hour)
	for i := range 1000 {
		c.Put(fmt.Sprint(i), settled(fmt.Sprint(i)))
	}
	stored := 0
	for i := range 1000 {
		if _, ok := c.Get(fmt.Sprint(i), start); ok {
			stored++
		}
	}
	if stored != shardCount*perShard {
		t.Errorf("%d records stored, want %d", stored, shardCount*perShard)
	}
	if _, ok := c.Get("999", start); !ok {
		t.Error("the newest record was evicted")
	}
}
