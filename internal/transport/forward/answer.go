package forward

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/hickorydock/hickorydock/internal/coordination/subrequest"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/httpstatus"
	contract "github.com/hickorydock/hickorydock/internal/protocol/peer"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/leafwire"
	"github.com/hickorydock/hickorydock/internal/transport/peer"
)

// answerResult returns the result of a relayed request to one leaf: the last reply of a leaf.
func answerResult(run *shardRun) peer.Result {
	reply := run.lastReply
	answer := &contract.Answer{Leaf: run.lastLeaf, Status: uint32(reply.Status), Body: reply.Body, Receipt: reply.Receipt}
	for name, values := range reply.Header {
		answer.Headers = append(answer.Headers, &contract.Header{Name: name, Values: values})
	}
	body, err := proto.Marshal(answer)
	if err != nil { // a header that is not UTF-8
		return peer.Result{Status: contract.Status_STATUS_FAILED, Reason: string(query.ReasonBadReply)}
	}
	return peer.Result{Status: contract.Status_STATUS_OK, Body: body}
}

var errNoReceipt = errors.New("answer without a receipt")

// parseAnswer decodes what answerResult has encoded and returns the leaf's id and reply.
func parseAnswer(relay string, body []byte) (leafID string, reply leafwire.Reply, err error) {
	var answer contract.Answer
	err = proto.Unmarshal(body, &answer)
	if err == nil && answer.Receipt == "" {
		err = errNoReceipt
	}
	if err != nil {
		return "", leafwire.Reply{}, fault.Wrap(err, fault.StepPeer, relay, "cannot use answer")
	}
	reply = leafwire.Reply{
		Result:  subrequest.UpstreamError,
		Sent:    true,
		Status:  int(answer.Status),
		Header:  make(http.Header, len(answer.Headers)),
		Body:    answer.Body,
		Receipt: answer.Receipt,
	}
	if reply.Status >= 200 && reply.Status < 300 {
		reply.Result = subrequest.OK
	}
	for _, h := range answer.Headers {
		reply.Header[h.Name] = h.Values
	}
	return answer.Leaf, reply, nil
}

// checkAnswer returns an error if a leaf's reply that another node has received states another
// request, or has a status that HTTP lacks. Nodes of earlier releases do not check all of this.
func (x *exchange) checkAnswer(answer *leafwire.Reply) error {
	if !httpstatus.IsFinal(answer.Status) {
		return fmt.Errorf("%w: status %03d", leafwire.ErrMalformed, answer.Status)
	}
	for _, id := range answer.Header.Values(x.f.cfg.Names.RequestID) {
		if id != x.req.id {
			return fmt.Errorf("%w: it states request %q", leafwire.ErrRequestIDMismatch, id)
		}
	}
	return nil
}

// addAnswer uses the reply of a leaf to which another node has sent the request. What it says
// about the leaf holds for this node too.
func (x *exchange) addAnswer(now time.Time, e relayEvent) {
	leafID, answer, err := parseAnswer(e.call.node.VM.ID, e.result.Body)
	if err != nil {
		x.f.invariantViolated("answer", x.req, err)
		x.failShard(now, 0, query.ReasonBadReply)
		return
	}
	if err := x.checkAnswer(&answer); err != nil {
		x.f.log.WithFields(log.Fields{"request": x.req.id, "node": e.call.node.VM.ID, "leaf": leafID}).WithError(err).Warn("answer of another node not usable")
		x.failShard(now, 0, query.ReasonBadReply)
		return
	}
	if r, ok := findReplica(x.view.Replicas[0], leafID); ok {
		x.f.handleNotices(now, &leafwire.Call{Message: x.message, Leaf: r.VM, Record: r.Record, StartedAt: e.call.startedAt, Reply: answer})
	}
	if answer.Result == subrequest.OK {
		x.addReply(now, 0, part{receipt: answer.Receipt, records: answer.Body, answer: &answer})
		return
	}
	if !x.query.IsSettled(0) {
		x.shards[0].lastReply = &answer
		x.shards[0].lastLeaf = leafID
	}
	x.failShard(now, 0, query.ReasonUpstreamError)
}

func findReplica(replicas []shardmap.Replica, id string) (shardmap.Replica, bool) {
	for _, r := range replicas {
		if r.VM.ID == id {
			return r, true
		}
	}
	return shardmap.Replica{}, false
}

// isLeafFailure reports whether a reply is the failure of a leaf that ran the request.
func isLeafFailure(reply *leafwire.Reply) bool {
	return reply != nil && reply.Result == subrequest.UpstreamError && reply.Sent && reply.Receipt != ""
}
