package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

// soakSample returns a complete answer of the first service and the records of the
// leafs that match it.
func soakSample() (*soak, sample, groundTruth) {
	shards := demoGroups[0].shards
	s := &soak{soakFleet: &soakFleet{}}
	s.addIndex(demoGroups[0].name, shards)
	q := sample{answer: query.Answer{
		RequestID: "r", Outcome: query.Done, Snapshot: firstSnapshot, Coverage: query.Coverage{Covered: shards, Total: shards},
	}}
	truth := groundTruth{replied: map[reply]bool{}, ran: map[string]bool{"r": true}}
	for shard := range shards {
		q.answer.Items = append(q.answer.Items, itemOf(shard, firstSnapshot, echo(0)))
		truth.replied[reply{"r", firstSnapshot, shard}] = true
	}
	return s, q, truth
}

func itemOf(shard int, from query.Snapshot, echo string) query.Item {
	return json.RawMessage(fmt.Sprintf(`{"shard":%d,"generation":%d,"version":%d,"echo":%q}`, shard, from.Generation, from.Version, echo))
}

func TestSoakChecksAnswers(t *testing.T) {
	other := query.Snapshot{Generation: 1, Version: 2}
	for _, test := range []struct {
		name    string
		corrupt func(*sample, groundTruth)
		want    violations
	}{
		{"true", func(*sample, groundTruth) {}, violations{}},
		{"mixed", func(q *sample, _ groundTruth) { q.answer.Items[1] = itemOf(1, other, echo(0)) }, violations{mixed: 1}},
		{"other caller", func(q *sample, _ groundTruth) { q.answer.Items[1] = itemOf(1, firstSnapshot, echo(7)) }, violations{wrongCaller: 1}},
		{"item lost", func(q *sample, _ groundTruth) { q.answer.Items = q.answer.Items[1:] }, violations{coverage: 1}},
		{"never replied", func(_ *sample, t groundTruth) { delete(t.replied, reply{"r", firstSnapshot, 2}) }, violations{coverage: 1}},
		{"replied for another snapshot", func(_ *sample, t groundTruth) {
			delete(t.replied, reply{"r", firstSnapshot, 2})
			t.replied[reply{"r", other, 2}] = true
		}, violations{coverage: 1}},
		{"wrong total", func(q *sample, _ groundTruth) {
			q.answer.Coverage = query.Coverage{Covered: 3, Total: 3}
			q.answer.Items = q.answer.Items[:3]
		}, violations{coverage: 1}},
		{"partial reported as done", func(q *sample, _ groundTruth) {
			q.answer.Items = q.answer.Items[:3]
			q.answer.Coverage = query.Coverage{Covered: 3, Total: 4, Missing: []query.Missing{{Shard: 3}}}
		}, violations{coverage: 1}},
		{"not run that ran", func(q *sample, _ groundTruth) { q.answer = query.Answer{RequestID: "r", Outcome: query.NotRun} }, violations{falseNotRun: 1}},
		{"stranded", func(q *sample, _ groundTruth) { q.elapsed = 2 * soakStrandedAfter }, violations{stranded: 1}},
	} {
		s, q, truth := soakSample()
		test.corrupt(&q, truth)
		s.queries = newTally(true)
		s.queries.add(q)
		var got violations
		s.checkQueries(truth, &got)
		if got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestSoakChecksCommands(t *testing.T) {
	now := time.Now()
	ran := func(runs int) keyRuns { return keyRuns{runs: runs, firstStart: now} }
	send := func(outcome query.Outcome, sent time.Duration) commandSample {
		return commandSample{key: "k", sent: now.Add(sent), answer: command.Answer{Answer: query.Answer{Outcome: outcome, Items: []query.Item{itemOf(0, firstSnapshot, "k")}}}}
	}
	for _, test := range []struct {
		name  string
		ran   keyRuns
		sends []commandSample
		want  violations
	}{
		{"done once", ran(1), []commandSample{send(query.Done, -1)}, violations{}},
		{"done without a run", ran(0), []commandSample{send(query.Done, -1)}, violations{falseDone: 1}},
		{"run twice", ran(2), []commandSample{send(query.Unknown, -1)}, violations{runTwice: 1}},
		{"run twice and reported done", ran(2), []commandSample{send(query.Done, -1)}, violations{runTwice: 1, falseDone: 1}},
		{"only rejected but run", ran(1), []commandSample{send(query.NotRun, -1)}, violations{falseNotRun: 1}},
		{"rejected, then run by a resend", ran(1), []commandSample{send(query.NotRun, -1), send(query.Done, -1)}, violations{}},
		{"rejected after the run", ran(1), []commandSample{send(query.Done, -1), send(query.NotRun, 1)}, violations{falseNotRun: 1}},
	} {
		s := &soak{sends: test.sends}
		var got violations
		s.checkCommands(groundTruth{keys: map[string]keyRuns{`"k"`: test.ran}}, &got)
		if got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestSoakCountsNotes(t *testing.T) {
	for _, test := range []struct {
		name   string
		err    error
		stored bool
		want   noteCounts
	}{
		{"applied", nil, true, noteCounts{applied: 1}},
		{"lost", nil, false, noteCounts{applied: 1, lost: 1}},
		{"conflict", &reconcile.Conflict{}, false, noteCounts{conflicts: 1}},
		{"conflict but stored", &reconcile.Conflict{}, true, noteCounts{conflicts: 1, misreported: 1}},
		{"not applied", &operator.NotAppliedError{}, false, noteCounts{notApplied: 1}},
		{"not applied but stored", &operator.NotAppliedError{}, true, noteCounts{notApplied: 1, misreported: 1}},
		{"unknown", &operator.OutcomeUnknownError{}, true, noteCounts{unknown: 1}},
		{"catalogue not read", errors.New("unavailable"), false, noteCounts{unknown: 1}},
	} {
		var got noteCounts
		got.add(test.err, test.stored)
		if got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}
