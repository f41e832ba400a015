package leaf

import (
	"encoding/binary"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
)

// scoreScale is the number of distinct scores.
const scoreScale = 1_000_000

// Items returns the deterministic result of a shard of a service in a snapshot.
// A non-empty echo is a JSON value that is copied into each item.
func Items(service string, shard int, snapshot query.Snapshot, count int, echo json.RawMessage) []query.Item {
	items := make([]query.Item, 0, count)
	for index := range count {
		items = append(items, item(service, shard, snapshot, index, echo))
	}
	return items
}

func item(service string, shard int, snapshot query.Snapshot, index int, echo json.RawMessage) query.Item {
	name := service + "-" + strconv.Itoa(shard) + "-" + strconv.Itoa(index)
	b := make([]byte, 0, 128+len(echo))
	b = append(b, `{"id":`...)
	b = strconv.AppendQuote(b, name)
	b = append(b, `,"shard":`...)
	b = strconv.AppendInt(b, int64(shard), 10)
	b = append(b, `,"generation":`...)
	b = strconv.AppendUint(b, snapshot.Generation, 10)
	b = append(b, `,"version":`...)
	b = strconv.AppendUint(b, snapshot.Version, 10)
	b = append(b, `,"score":`...)
	b = strconv.AppendFloat(b, score(name, snapshot), 'f', -1, 64)
	b = append(b, `,"amount":1`...)
	if len(echo) > 0 {
		b = append(b, `,"echo":`...)
		b = append(b, echo...)
	}
	return append(b, '}')
}

// score returns a number in [0, 1) that depends only on the item and its
// snapshot.
func score(name string, snapshot query.Snapshot) float64 {
	b := append(make([]byte, 0, 64), name...)
	b = binary.BigEndian.AppendUint64(b, snapshot.Generation)
	b = binary.BigEndian.AppendUint64(b, snapshot.Version)
	return float64(xxhash.Sum64(b)%scoreScale) / scoreScale
}

// replyBody returns the JSON body of the reply to a completed run.
func replyBody(sub upstream.Subrequest, count int, echo json.RawMessage) []byte {
	b := make([]byte, 0, 64+count*(128+len(echo)))
	b = append(b, `{"items":[`...)
	for index := range count {
		if index > 0 {
			b = append(b, ',')
		}
		b = append(b, item(sub.Service, sub.Shard, sub.Snapshot, index, echo)...)
	}
	return append(b, `]}`...)
}
