package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/admission"
	"github.com/hickorydock/hickorydock/internal/coordination/limit"
	"github.com/hickorydock/hickorydock/internal/coordination/quarantine"
	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/transport/throttle"
)

const (
	// initialQueries is the limit of queries in flight of a service before
	// anything is known of it.
	initialQueries = 32
	// queuePerLimit is the length of a service's queue, in units of its limit.
	queuePerLimit = 2
	// queryWaitTolerance is how many times the time at leafs the time in leaf
	// queues may reach before a service's limit falls.
	queryWaitTolerance = 2.0
)

// admissionPriorities orders queries of a service.
var admissionPriorities = map[query.Priority]int{query.PriorityHigh: 2, query.PriorityNormal: 1, "": 1, query.PriorityLow: 0}

// newAdmission returns the admission of whole queries: a fixed limit for the
// node and one for each service that adapts to how long subrequests wait.
func newAdmission(cfg Config) *throttle.Throttle {
	total := limit.New(limit.Config{Floor: cfg.MaxQueries, Ceiling: cfg.MaxQueries, Initial: cfg.MaxQueries})
	perService := func() *limit.Limiter {
		return limit.New(limit.Config{Floor: 1, Ceiling: cfg.MaxQueries, Initial: min(initialQueries, cfg.MaxQueries), QueueTolerance: queryWaitTolerance})
	}
	return throttle.New(admission.New(admission.Config{Total: total, NewClass: perService, MaxQueue: cfg.MaxQueue, QueuePerLimit: queuePerLimit}))
}

// admit waits for the admission of a query. The error tells the caller that
// nothing ran and when to come back. After a nil error, done must be called.
func (e *Entry) admit(ctx context.Context, service note.Service, request query.Request, deadline time.Time) error {
	ticket := &admission.Ticket{Class: service.Name, Priority: admissionPriorities[request.Priority], Deadline: deadline}
	if err := e.admission.Enter(ctx, ticket); err != nil {
		return fault.Wrap(err, fault.StepAdmit, "", "caller left").WithStatus(statusCallerLeft, query.NotRun)
	}
	switch ticket.Decision {
	case admission.Admit:
		return nil
	case admission.RefuseLate:
		return overloaded(ticket, "service %s cannot answer before the deadline", service.Name)
	default:
		return overloaded(ticket, "service %s has too many queries waiting", service.Name)
	}
}

func overloaded(ticket *admission.Ticket, format, name string) error {
	return fault.New(fault.StepAdmit, "", format, name).
		WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(ticket.RetryAfter)
}

// refuseSuspect refuses a query that is in quarantine.
func (e *Entry) refuseSuspect(f quarantine.Fingerprint) error {
	left, refused := e.guard.Quarantined(f)
	if !refused {
		return nil
	}
	return fault.New(fault.StepAdmit, "", "the request is in quarantine, since leafs broke their connections while they ran it").
		WithStatus(http.StatusUnprocessableEntity, query.NotRun).WithRetryAfter(left)
}

// isCanary reports whether an unproven query over shards runs on one of them first.
func (e *Entry) isCanary(shards int) bool {
	return e.cfg.CanaryShards > 0 && shards >= e.cfg.CanaryShards
}

// load sums up what the subrequests of a query met.
type load struct {
	waited, ran time.Duration
	shed        bool
}

// done ends an admitted query.
func (e *Entry) done(service note.Service, elapsed time.Duration, l load) {
	sample := limit.Sample{Elapsed: elapsed, QueueTime: l.waited, ServiceTime: l.ran}
	if l.shed {
		sample.Outcome = limit.Shed
	}
	if err := e.admission.Done(service.Name, sample); err != nil {
		e.violated("admission")
	}
	if e.onAdmission != nil {
		_, waiting, limit := e.admission.Load(service.Name)
		e.onAdmission(service.Name, limit, waiting)
	}
}
