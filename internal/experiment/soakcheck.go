package experiment

import (
	"encoding/json"
	"errors"
	"slices"
	"strconv"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/transport/operator"
)

// reply identifies the reply of a shard to a request in one snapshot.
type reply struct {
	requestID string
	snapshot  query.Snapshot
	shard     int
}

// groundTruth is the actual runs and replies, as the leafs recorded them.
type groundTruth struct {
	replied map[reply]bool
	ran     map[string]bool    // request IDs of queries
	keys    map[string]keyRuns // commands by their key
}

func (f *soakFleet) collectGroundTruth() groundTruth {
	t := groundTruth{replied: map[reply]bool{}, ran: map[string]bool{}, keys: map[string]keyRuns{}}
	for _, l := range f.demo.leafs {
		for _, run := range l.AllRuns() {
			if run.Class == upstream.ClassCommand {
				k := t.keys[run.Echo]
				if k.runs == 0 || run.Started.Before(k.firstStart) {
					k.firstStart = run.Started
				}
				k.runs++
				t.keys[run.Echo] = k
				continue
			}
			t.ran[run.RequestID] = true
			if run.Replied {
				t.replied[reply{run.RequestID, run.Snapshot, run.Shard}] = true
			}
		}
	}
	return t
}

// violations counts violated guarantees to callers.
type violations struct {
	mixed, wrongCaller, coverage, falseNotRun, stranded, runTwice, falseDone int
}

// soakItem is the part of a stand-in's item that states its origin.
type soakItem struct {
	Shard int `json:"shard"`
	echoItem
}

func (s *soak) checkQueries(t groundTruth, v *violations) {
	for i := range s.queries.samples {
		q := &s.queries.samples[i]
		if q.elapsed > soakStrandedAfter {
			v.stranded++
		}
		if q.err == nil {
			s.checkAnswer(q, t, v)
		}
	}
	for i := range s.rejected {
		if t.ran[s.rejected[i].answer.RequestID] {
			v.falseNotRun++
		}
	}
}

func (s *soak) checkAnswer(q *sample, t groundTruth, v *violations) {
	a := &q.answer
	if a.Outcome == query.NotRun && t.ran[a.RequestID] {
		v.falseNotRun++
	}
	itemShards := map[int]bool{}
	mixed, otherCaller := false, false
	for _, raw := range a.Items {
		var item soakItem
		if json.Unmarshal(raw, &item) != nil {
			otherCaller = true
			continue
		}
		itemShards[item.Shard] = true
		mixed = mixed || item.Generation != a.Snapshot.Generation || item.Version != a.Snapshot.Version
		otherCaller = otherCaller || item.Echo != echo(q.index)
	}
	if mixed {
		v.mixed++
	}
	if otherCaller {
		v.wrongCaller++
	}
	if q.ok() && !s.isCoverageCorrect(q, itemShards, t) {
		v.coverage++
	}
}

// isCoverageCorrect compares the stated coverage with the layouts of the index, with the
// items and with the leafs' replies.
func (s *soak) isCoverageCorrect(q *sample, itemShards map[int]bool, t groundTruth) bool {
	a := &q.answer
	index := s.indexes[slices.IndexFunc(s.indexes, func(x *soakIndex) bool {
		return x.service == demoGroups[q.index%len(demoGroups)].name
	})]
	missing, _ := missingShards(a)
	complete := len(missing) == 0
	if a.Coverage.Total != index.layouts[a.Snapshot] || a.Coverage.Covered != a.Coverage.Total-len(missing) ||
		len(itemShards) != a.Coverage.Covered || complete != (a.Outcome == query.Done) {
		return false
	}
	for shard := range a.Coverage.Total {
		replied := t.replied[reply{a.RequestID, a.Snapshot, shard}]
		if itemShards[shard] == missing[shard] || itemShards[shard] && !replied {
			return false
		}
	}
	return true
}

func (s *soak) checkCommands(t groundTruth, v *violations) {
	onlyRejected := map[string]bool{}
	for _, send := range s.sends {
		key := strconv.Quote(send.key)
		k := t.keys[key]
		rejected := send.err == nil && send.answer.Outcome == query.NotRun
		if before, found := onlyRejected[key]; !found || before {
			onlyRejected[key] = rejected
		}
		if send.elapsed > soakStrandedAfter {
			v.stranded++
		}
		if rejected && k.runs > 0 && k.firstStart.Before(send.sent) {
			v.falseNotRun++
		}
		if send.err == nil && send.answer.Outcome == query.Done {
			if k.runs != 1 {
				v.falseDone++
			}
			if !isEchoOf(send.answer, send.key) {
				v.wrongCaller++
			}
		}
	}
	for key, rejected := range onlyRejected {
		if rejected && t.keys[key].runs > 0 {
			v.falseNotRun++
		}
	}
	for _, k := range t.keys {
		if k.runs > 1 {
			v.runTwice++
		}
	}
}

// noteCounts counts the outcomes of the notes.
type noteCounts struct {
	applied, conflicts, notApplied, unknown, lost, appliedTwice, misreported int
}

func (s *soak) countNotes(c note.Catalogue) noteCounts {
	var n noteCounts
	times := map[string]int{}
	for _, applied := range c.History {
		times[applied.ID]++
	}
	for _, count := range times {
		n.appliedTwice += count - 1
	}
	for _, outcome := range s.notes {
		n.add(outcome.err, times[outcome.id] > 0)
	}
	return n
}

func (n *noteCounts) add(err error, stored bool) {
	var conflict *reconcile.Conflict
	var notAppliedErr *operator.NotAppliedError
	switch {
	case err == nil:
		n.applied++
		if !stored {
			n.lost++
		}
	case errors.As(err, &conflict), errors.As(err, &notAppliedErr):
		if conflict != nil {
			n.conflicts++
		} else {
			n.notApplied++
		}
		if stored {
			n.misreported++
		}
	default: // the operator received no definite outcome, or could not read the catalogue
		n.unknown++
	}
}

func (s *soak) result(c note.Catalogue, behind int) Result {
	t := s.collectGroundTruth()
	var v violations
	s.checkQueries(t, &v)
	s.checkCommands(t, &v)
	notes := s.countNotes(c)
	failedOver, interrupted := s.balancer.counts()
	var violatedInvariants int64
	for _, n := range s.allNodes() {
		violatedInvariants += n.Violations()
	}
	return Result{
		Policy: s.figures(notes, failedOver),
		Checks: []Check{
			AtMost("mixed_answers", float64(v.mixed), 0),
			AtMost("untrue_coverage", float64(v.coverage), 0),
			AtMost("answers_to_wrong_caller", float64(v.wrongCaller), 0),
			AtMost("not_run_that_ran", float64(v.falseNotRun), 0),
			AtMost("commands_run_twice", float64(v.runTwice), 0),
			AtMost("done_untrue", float64(v.falseDone), 0),
			AtMost("callers_stranded", float64(v.stranded), 0),
			AtMost("sent_to_draining_after_3s", float64(s.lateSubrequests), 0),
			AtMost("cut_off", float64(interrupted), 0),
			AtMost("reverted_revisions", float64(s.revisions.revertCount()), 0),
			AtMost("nodes_behind_at_end", float64(behind), 0),
			AtMost("notes_lost", float64(notes.lost), 0),
			AtMost("notes_doubled", float64(notes.appliedTwice), 0),
			AtMost("notes_told_untrue", float64(notes.misreported), 0),
			AtMost("broken_invariants", float64(violatedInvariants), 0),
			AtLeast("queries", float64(s.queries.total()), 1),
			AtLeast("commands_done", float64(s.countOutcomes().done), 1),
			AtLeast("drains_judged", float64(s.drainsChecked), 1),
		},
	}
}

// shed counts the subrequests that the leafs shed.
func (f *soakFleet) shed() int {
	count := 0
	for _, l := range f.demo.leafs {
		count += l.ShedCount()
	}
	return count
}

func (s *soak) countOutcomes() outcomes {
	var o outcomes
	for _, send := range s.sends {
		o.add(send)
	}
	return o
}

func (s *soak) figures(notes noteCounts, failedOver int) []Figure {
	o := s.countOutcomes()
	figures := append(s.queries.figures(),
		Figure{"slowest_ms", s.queries.quantileMS(1)},
		Figure{"queries_per_s", float64(s.queries.total()) / s.loadDuration.Seconds()},
		Figure{"command_sends_per_s", float64(o.sends) / s.loadDuration.Seconds()},
		Figure{"refused_by_one_node", float64(len(s.rejected))},
		Figure{"quarantined", float64(countQuarantined(s.queries))},
		Figure{"subrequests_shed", float64(s.shed())},
		Figure{"moved_to_another_node", float64(failedOver)},
		Figure{"command_sends", float64(o.sends)},
		Figure{"commands_done", float64(o.done)},
		Figure{"commands_not_run", float64(o.notRun)},
		Figure{"commands_unknown", float64(o.unknown)},
		Figure{"commands_without_answer", float64(o.other)},
		Figure{"notes_applied", float64(notes.applied)},
		Figure{"notes_in_conflict", float64(notes.conflicts)},
		Figure{"notes_not_applied", float64(notes.notApplied)},
		Figure{"notes_without_claim", float64(notes.unknown)},
		Figure{"drains_judged", float64(s.drainsChecked)},
		Figure{"drains_not_judged", float64(s.drainsSkipped)},
	)
	for _, kind := range append(faultKinds, faultKind{name: "stops_incomplete"}) {
		figures = append(figures, Figure{kind.name, float64(s.counts[kind.name])})
	}
	return figures
}
