package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/fairlimit"
)

// sharesScenario is a run of senders against one leaf in virtual time. Every
// sender always has subrequests to send. Before the start the first sender is alone
// and may use all slots; it leaves halfway, and the others are notified 1 s later.
type sharesScenario struct {
	senders int
	slots   int
	// queue is the number of subrequests that can wait in the leaf before it sheds.
	queue int
	// assumedSenders is the number of senders that each sender assumes.
	assumedSenders int
	seed           uint64
}

// Service time and timeline of a scenario.
const (
	sharesServiceTime       = 5 * time.Millisecond
	sharesSigma             = 0.3
	sharesSettleTime        = 2 * time.Second
	sharesLeaveTime         = 4 * time.Second
	sharesLeaveNotifiedTime = 5 * time.Second
	sharesDuration          = 8 * time.Second
)

// sharesReport is the result of a scenario.
type sharesReport struct {
	// windowIndex is Jain's index of the windows at 2 s, rateIndex that of the
	// replies from 2 s to 4 s, lateIndex that of the remaining senders from 6 s on,
	// 2 s after the first sender left.
	windowIndex, rateIndex, lateIndex float64
	// utilisation is the share of busy slots from 2 s to 4 s, lateUtilisation from 6 s on.
	utilisation, lateUtilisation float64
	// shed counts subrequests that arrived at a full queue; queuePeak is the longest queue.
	shed, queuePeak int
}

// jain is Jain's fairness index: 1 when all are equal, 1/n when one has all.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}

// sharesEvent is the next attempt of a sender to send or, if ended is set, the end
// of a subrequest.
type sharesEvent struct {
	at       time.Duration
	sequence int
	ended    bool
	sender   int
	sent     time.Duration
}

type sharesEvents []sharesEvent

// Len is part of heap.Interface.
func (q sharesEvents) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q sharesEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap is part of heap.Interface.
func (q sharesEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *sharesEvents) Push(x any) { *q = append(*q, x.(sharesEvent)) }

// Pop is part of heap.Interface.
func (q *sharesEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sharesModel is the state of a scenario.
type sharesModel struct {
	sharesScenario
	random        *rand.Rand
	events        sharesEvents
	sequence      int
	limits        []*fairlimit.Limit
	nextAttempt   []time.Duration // the time of the next attempt of each sender, or -1
	busy          int
	waiting       []sharesEvent
	leaveNotified bool
	report        sharesReport
	// replies and busyTime are indexed by measuredSpan.
	replies  [2][]float64
	busyTime [2]time.Duration
}

var sharesEpoch = time.Unix(0, 0)

// simulateShares runs a scenario.
func simulateShares(s sharesScenario) sharesReport {
	m := &sharesModel{sharesScenario: s, random: rand.New(rand.NewPCG(s.seed, 2))}
	m.start()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(sharesEvent)
		if e.at >= sharesDuration {
			break
		}
		m.observe(e.at)
		m.handle(e)
	}
	return m.finish()
}

func (m *sharesModel) start() {
	m.replies = [2][]float64{make([]float64, m.senders), make([]float64, m.senders)}
	for i := range m.senders {
		cfg := fairlimit.Config{Senders: m.assumedSenders, Slots: m.slots, ServiceTime: sharesServiceTime}
		if i == 0 {
			cfg.Senders = 1
		}
		l := fairlimit.New(cfg, sharesEpoch, m.random.Float64())
		l.SetSenders(m.assumedSenders)
		m.limits = append(m.limits, l)
		m.nextAttempt = append(m.nextAttempt, -1)
	}
	for i := range m.limits {
		m.sendAllowed(0, i)
	}
}

// observe records the windows at 2 s and notifies the remaining senders of the leave.
func (m *sharesModel) observe(now time.Duration) {
	if m.report.windowIndex == 0 && now >= sharesSettleTime {
		var windows []float64
		for _, l := range m.limits {
			windows = append(windows, l.Window())
		}
		m.report.windowIndex = jain(windows)
	}
	if !m.leaveNotified && now >= sharesLeaveNotifiedTime {
		m.leaveNotified = true
		for _, l := range m.limits {
			l.SetSenders(m.assumedSenders - 1)
		}
	}
}

func (m *sharesModel) push(e sharesEvent) {
	m.sequence++
	e.sequence = m.sequence
	heap.Push(&m.events, e)
}

func (m *sharesModel) handle(e sharesEvent) {
	if !e.ended {
		if m.nextAttempt[e.sender] == e.at {
			m.nextAttempt[e.sender] = -1
			m.sendAllowed(e.at, e.sender)
		}
		return
	}
	m.busy--
	if span, ok := measuredSpan(e.at); ok {
		m.replies[span][e.sender]++
	}
	if len(m.waiting) > 0 {
		next := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.startService(e.at, next)
	}
	m.limits[e.sender].Replied(sharesEpoch.Add(e.at), e.at-e.sent)
	m.sendAllowed(e.at, e.sender)
}

// measuredSpan is 0 from 2 s to 4 s and 1 from 6 s on.
func measuredSpan(at time.Duration) (int, bool) {
	switch {
	case at >= sharesSettleTime && at < sharesLeaveTime:
		return 0, true
	case at >= sharesLeaveTime+sharesSettleTime:
		return 1, true
	default:
		return 0, false
	}
}

// sendAllowed sends as many subrequests as the limit of a sender allows.
func (m *sharesModel) sendAllowed(now time.Duration, sender int) {
	if sender == 0 && now >= sharesLeaveTime {
		return
	}
	for {
		ok, retryAt := m.limits[sender].Acquire(sharesEpoch.Add(now))
		if !ok {
			m.scheduleAttempt(retryAt, sender)
			return
		}
		m.arrive(now, sender)
	}
}

func (m *sharesModel) scheduleAttempt(retryAt time.Time, sender int) {
	if retryAt.IsZero() {
		return
	}
	at := retryAt.Sub(sharesEpoch)
	if m.nextAttempt[sender] != at {
		m.nextAttempt[sender] = at
		m.push(sharesEvent{at: at, sender: sender})
	}
}

func (m *sharesModel) arrive(now time.Duration, sender int) {
	e := sharesEvent{sender: sender, sent: now}
	switch {
	case m.busy < m.slots:
		m.startService(now, e)
	case len(m.waiting) < m.queue:
		m.waiting = append(m.waiting, e)
		m.report.queuePeak = max(m.report.queuePeak, len(m.waiting))
	default:
		m.report.shed++
		m.limits[sender].Shed(sharesEpoch.Add(now))
	}
}

func (m *sharesModel) startService(now time.Duration, e sharesEvent) {
	m.busy++
	service := time.Duration(float64(sharesServiceTime) * math.Exp(sharesSigma*m.random.NormFloat64()))
	if span, ok := measuredSpan(now); ok {
		m.busyTime[span] += service
	}
	m.push(sharesEvent{at: now + service, ended: true, sender: e.sender, sent: e.sent})
}

func (m *sharesModel) finish() sharesReport {
	m.report.rateIndex = jain(m.replies[0])
	m.report.lateIndex = jain(m.replies[1][1:])
	slots := float64(m.slots)
	m.report.utilisation = m.busyTime[0].Seconds() / (sharesLeaveTime - sharesSettleTime).Seconds() / slots
	m.report.lateUtilisation = m.busyTime[1].Seconds() / (sharesDuration - sharesLeaveTime - sharesSettleTime).Seconds() / slots
	return m.report
}
