package load

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/command"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// fakeTarget answers after a delay that depends on the number of the query.
type fakeTarget struct {
	mu     sync.Mutex
	calls  int
	delay  func(call int) time.Duration
	answer func(call int) (query.Answer, error)

	commandSends  int             // number of commands sent
	commandKeys   map[string]bool // keys of the commands received
	rerunsRepeats bool
}

func (t *fakeTarget) Query(ctx context.Context, _ string, _ query.Request) (query.Answer, error) {
	t.mu.Lock()
	call := t.calls
	t.calls++
	t.mu.Unlock()
	select {
	case <-ctx.Done():
		return query.Answer{}, ctx.Err()
	case <-time.After(t.delay(call)):
		return t.answer(call)
	}
}

// Command answers with the key as request ID. A repeated key is answered as
// recorded or, with rerunsRepeats, as if the command had run again.
func (t *fakeTarget) Command(_ context.Context, _, key string, _ command.Request) (command.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commandSends++
	answer := command.Answer{Answer: query.Answer{RequestID: key, Outcome: query.Done, Coverage: query.Coverage{Covered: 1, Total: 1}}}
	if t.commandKeys[key] && t.rerunsRepeats {
		answer.RequestID += "-again"
		return answer, nil
	}
	answer.Recorded = t.commandKeys[key]
	t.commandKeys[key] = true
	return answer, nil
}

func TestRepeatedCommandsMustBeRecorded(t *testing.T) {
	for _, rerunsRepeats := range []bool{false, true} {
		cfg := testConfig()
		cfg.CommandShare, cfg.KeyPrefix = 0.5, "k"
		fake := &fakeTarget{delay: constantDelay(0), answer: answerDone, commandKeys: map[string]bool{}, rerunsRepeats: rerunsRepeats}
		r := runLoad(t, cfg, fake)
		commands := int64(len(fake.commandKeys))
		if commands < r.All.Answered*2/5 || commands > r.All.Answered*3/5 {
			t.Errorf("%d of %d are commands, want half", commands, r.All.Answered)
		}
		repeats := int64(fake.commandSends) - commands
		if repeats < commands/6 || repeats > commands/3 {
			t.Errorf("%d of %d commands were repeated, want a quarter", repeats, commands)
		}
		if violations := r.Violations[ViolationRepeat]; (violations == repeats) != rerunsRepeats || (violations == 0) == rerunsRepeats {
			t.Errorf("%d of %d repeats are counted as violations, rerunsRepeats %v", violations, repeats, rerunsRepeats)
		}
	}
}

func constantDelay(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

func answerDone(int) (query.Answer, error) {
	return query.Answer{Outcome: query.Done, Coverage: query.Coverage{Covered: 2, Total: 2}}, nil
}

func testConfig() Config {
	return Config{
		Services: []string{"a", "b"}, Queries: []json.RawMessage{json.RawMessage("{}")},
		Rate: 100, RunTime: 10 * time.Second, Seed: 1, InFlightLimit: 1000,
	}
}

// runLoad sends a load to fake in virtual time.
func runLoad(t *testing.T, cfg Config, fake *fakeTarget) (report Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		runner, err := New(cfg, fake)
		if err != nil {
			t.Fatal(err)
		}
		report = runner.Run(t.Context())
	})
	return report
}

func TestArrivalsFollowTheRateAndTheSeed(t *testing.T) {
	counts := map[uint64]int64{}
	for _, seed := range []uint64{1, 2} {
		cfg := testConfig()
		cfg.Seed = seed
		first := runLoad(t, cfg, &fakeTarget{delay: constantDelay(0), answer: answerDone})
		second := runLoad(t, cfg, &fakeTarget{delay: constantDelay(0), answer: answerDone})
		if first.All.Answered != second.All.Answered || first.Services[0].Answered != second.Services[0].Answered {
			t.Errorf("seed %d gave %d and %d queries", seed, first.All.Answered, second.All.Answered)
		}
		counts[seed] = first.Services[0].Answered
		// 1000 expected with a standard deviation of 32.
		if n := first.All.Answered; n < 850 || n > 1150 {
			t.Errorf("seed %d sent %d queries, want about 1000", seed, n)
		}
		if !first.OK() {
			t.Errorf("a run without failures is not OK: %+v", first)
		}
	}
	if counts[1] == counts[2] {
		t.Error("two seeds gave the same load")
	}
}

func TestSlowAnswersDelayNoLaterQueries(t *testing.T) {
	fast := runLoad(t, testConfig(), &fakeTarget{delay: constantDelay(0), answer: answerDone})
	slow := runLoad(t, testConfig(), &fakeTarget{delay: constantDelay(5 * time.Second), answer: answerDone})
	if fast.All.Answered != slow.All.Answered {
		t.Errorf("%d queries to a slow target, %d to a fast one", slow.All.Answered, fast.All.Answered)
	}
	if p50 := slow.All.Latency[0].MS; p50 < 4990 || p50 > 5010 {
		t.Errorf("median is %v ms, want 5000", p50)
	}
}

func TestQueriesAboveTheBoundCountAsUnsent(t *testing.T) {
	cfg := testConfig()
	cfg.InFlightLimit = 10
	all := runLoad(t, testConfig(), &fakeTarget{delay: constantDelay(0), answer: answerDone}).All.Answered
	r := runLoad(t, cfg, &fakeTarget{delay: constantDelay(5 * time.Second), answer: answerDone})
	if r.All.Unsent == 0 || r.All.Unsent+r.All.Answered != all {
		t.Errorf("%d unsent and %d answered, want %d together", r.All.Unsent, r.All.Answered, all)
	}
	if r.OK() {
		t.Error("a run with unsent queries is OK")
	}
}

func TestOutcomesAreCounted(t *testing.T) {
	answers := []func() (query.Answer, error){
		func() (query.Answer, error) { return answerDone(0) },
		func() (query.Answer, error) {
			return query.Answer{}, fault.New(fault.StepAdmit, "", "x").WithStatus(503, query.NotRun)
		},
		func() (query.Answer, error) { return query.Answer{}, errors.New("connection reset") },
	}
	r := runLoad(t, testConfig(), &fakeTarget{delay: constantDelay(0), answer: func(call int) (query.Answer, error) { return answers[call%3]() }})
	for _, o := range []query.Outcome{query.Done, query.NotRun, outcomeError} {
		if n := r.All.Outcomes[o]; n < r.All.Answered/3-1 {
			t.Errorf("%d answers are %s, want a third of %d", n, o, r.All.Answered)
		}
	}
	if r.OK() || len(r.Errors) == 0 {
		t.Errorf("a run with errors is OK, or shows none: %v", r.Errors)
	}
}

func TestUnansweredQueryTimesOut(t *testing.T) {
	cfg := testConfig()
	cfg.Rate, cfg.RunTime = 1, 3*time.Second
	r := runLoad(t, cfg, &fakeTarget{delay: constantDelay(time.Hour), answer: answerDone})
	if r.All.Answered == 0 || r.All.Outcomes[outcomeError] != r.All.Answered {
		t.Errorf("got %+v, want errors only", r.All.Outcomes)
	}
}

func TestStopEndsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		runner, err := New(testConfig(), &fakeTarget{delay: constantDelay(time.Millisecond), answer: answerDone})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		r := runner.Run(ctx)
		if elapsed := time.Since(start); elapsed > 2*time.Second || r.All.Answered == 0 {
			t.Errorf("ended after %s with %d answers", elapsed, r.All.Answered)
		}
	})
}

func TestCheck(t *testing.T) {
	item := func(shard, generation, version string) query.Item {
		return query.Item(`{"shard":` + shard + `,"generation":` + generation + `,"version":` + version + `}`)
	}
	missing := func(shards ...int) []query.Missing {
		var list []query.Missing
		for _, s := range shards {
			list = append(list, query.Missing{Shard: s, Reason: query.ReasonDeadline})
		}
		return list
	}
	cases := []struct {
		name     string
		outcome  query.Outcome
		coverage query.Coverage
		items    []query.Item
		want     Violation
		rule     shardRule
	}{
		{"command", query.Done, query.Coverage{Covered: 1, Total: 1}, []query.Item{item("5", "3", "7"), item("5", "3", "7")}, "", oneShard},
		{"command on two shards", query.Done, query.Coverage{Covered: 1, Total: 1}, []query.Item{item("5", "3", "7"), item("4", "3", "7")}, ViolationShard, oneShard},
		{"command of an old version", query.Done, query.Coverage{Covered: 1, Total: 1}, []query.Item{item("5", "3", "6")}, ViolationSnapshot, oneShard},
		{"complete", query.Done, query.Coverage{Covered: 2, Total: 2}, []query.Item{item("0", "3", "7"), item("1", "3", "7")}, "", coveredShards},
		{"partial", query.Partial, query.Coverage{Covered: 1, Total: 2, Missing: missing(1)}, []query.Item{item("0", "3", "7")}, "", coveredShards},
		{"failed", query.Failed, query.Coverage{Covered: 0, Total: 2, Missing: missing(0, 1)}, nil, "", coveredShards},
		{"old version", query.Done, query.Coverage{Covered: 2, Total: 2}, []query.Item{item("0", "3", "6")}, ViolationSnapshot, coveredShards},
		{"old generation", query.Done, query.Coverage{Covered: 2, Total: 2}, []query.Item{item("0", "2", "7")}, ViolationSnapshot, coveredShards},
		{"item of a missing shard", query.Partial, query.Coverage{Covered: 1, Total: 2, Missing: missing(1)}, []query.Item{item("1", "3", "7")}, ViolationShard, coveredShards},
		{"item beyond the shards", query.Done, query.Coverage{Covered: 2, Total: 2}, []query.Item{item("2", "3", "7")}, ViolationShard, coveredShards},
		{"item without a shard", query.Done, query.Coverage{Covered: 2, Total: 2}, []query.Item{query.Item(`{}`)}, ViolationItemFormat, coveredShards},
		{"missing not named", query.Partial, query.Coverage{Covered: 1, Total: 2}, nil, ViolationCoverage, coveredShards},
		{"missing twice", query.Partial, query.Coverage{Covered: 0, Total: 2, Missing: missing(1, 1)}, nil, ViolationCoverage, coveredShards},
		{"missing out of range", query.Partial, query.Coverage{Covered: 1, Total: 2, Missing: missing(2)}, nil, ViolationCoverage, coveredShards},
		{"done with a gap", query.Done, query.Coverage{Covered: 1, Total: 2, Missing: missing(0)}, nil, ViolationOutcome, coveredShards},
		{"partial without a gap", query.Partial, query.Coverage{Covered: 2, Total: 2}, nil, ViolationOutcome, coveredShards},
		{"done of nothing", query.Done, query.Coverage{}, nil, ViolationOutcome, coveredShards},
		{"no outcome", "", query.Coverage{Covered: 2, Total: 2}, nil, ViolationOutcome, coveredShards},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := query.Answer{Outcome: c.outcome, Coverage: c.coverage, Items: c.items, Snapshot: query.Snapshot{Generation: 3, Version: 7}}
			got := check(&a, c.rule, true)
			if c.want == "" && len(got) > 0 {
				t.Errorf("an answer without faults violates %v", got)
			}
			if _, found := got[c.want]; c.want != "" && !found {
				t.Errorf("got %v, want %s", got, c.want)
			}
		})
	}
}

func TestValidateNamesEveryFault(t *testing.T) {
	bad := Config{Queries: []json.RawMessage{json.RawMessage("{")}, Rate: -1, RunTime: 0, MinCoverage: 2, DeadlineMS: -1}
	err := bad.Validate()
	if err == nil || strings.Count(err.Error(), "\n") != 6 {
		t.Errorf("got %v, want seven faults", err)
	}
}

func TestPageShowsTheReport(t *testing.T) {
	r := runLoad(t, testConfig(), &fakeTarget{delay: constantDelay(20 * time.Millisecond), answer: func(int) (query.Answer, error) {
		return query.Answer{RequestID: "<script>", Outcome: query.Done, Coverage: query.Coverage{Covered: 1, Total: 2}}, nil
	}})
	var page strings.Builder
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"p99.9", "50.00%", string(ViolationOutcome), `points="0,0`, "&lt;script&gt;"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}
