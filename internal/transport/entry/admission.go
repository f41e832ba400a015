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
	// initialQueryLimit is the limit of queries in flight of a service before any
	// of its queries has been measured.
	initialQueryLimit = 32
	// queuePerLimit is the maximum length of a service's queue, in multiples of its limit.
	queuePerLimit = 2
	// queueTolerance is the maximum ratio of the time that subrequests spend in
	// queues of leafs to the time that they run there. Above it, the limit of the
	// service decreases.
	queueTolerance = 2.0
)

// admissionPriorities maps the priority of a query to its rank in the queue of its service.
var admissionPriorities = map[query.Priority]int{query.PriorityHigh: 2, query.PriorityNormal: 1, "": 1, query.PriorityLow: 0}

// newAdmission returns the admission control of whole queries: a fixed limit for
// the node, and a limit for each service that adapts to the queue time of subrequests.
func newAdmission(cfg Config) *throttle.Throttle {
	total := limit.New(limit.Config{Floor: cfg.MaxQueries, Ceiling: cfg.MaxQueries, Initial: cfg.MaxQueries})
	perService := func() *limit.Limiter {
		return limit.New(limit.Config{Floor: 1, Ceiling: cfg.MaxQueries, Initial: min(initialQueryLimit, cfg.MaxQueries), QueueTolerance: queueTolerance})
	}
	return throttle.New(admission.New(admission.Config{Total: total, NewClass: perService, MaxQueue: cfg.MaxQueue, QueuePerLimit: queuePerLimit}))
}

// admit waits for the admission of a query. The error states that nothing ran
// and when the caller may retry. After a nil error, release must be called.
func (e *Entry) admit(ctx context.Context, service note.Service, request query.Request, deadline time.Time) error {
	ticket := &admission.Ticket{Class: service.Name, Priority: admissionPriorities[request.Priority], Deadline: deadline}
	err := e.admission.Enter(ctx, ticket)
	if err != nil && isStopping(ctx) {
		return fault.Wrap(ErrStopping, fault.StepAdmit, "", "not admitted").
			WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(retryAfter)
	}
	if err != nil {
		return fault.Wrap(err, fault.StepAdmit, "", "caller left").WithStatus(statusClientClosedRequest, query.NotRun)
	}
	switch ticket.Decision {
	case admission.Admit:
		return nil
	case admission.RefuseLate:
		return overloadError(ticket, "service %s cannot answer before the deadline", service.Name)
	default:
		return overloadError(ticket, "service %s has too many queries waiting", service.Name)
	}
}

func overloadError(ticket *admission.Ticket, format, name string) error {
	return fault.New(fault.StepAdmit, "", format, name).
		WithStatus(http.StatusServiceUnavailable, query.NotRun).WithRetryAfter(ticket.RetryAfter)
}

// rejectQuarantined returns an error if a query is in quarantine.
func (e *Entry) rejectQuarantined(f quarantine.Fingerprint) error {
	remaining, quarantined := e.guard.Quarantined(f)
	if !quarantined {
		return nil
	}
	return fault.New(fault.StepAdmit, "", "the request is in quarantine, since leafs broke their connections while they ran it").
		WithStatus(http.StatusUnprocessableEntity, query.NotRun).WithRetryAfter(remaining)
}

// needsCanary reports whether an unverified query of this many shards runs on one
// of them first.
func (e *Entry) needsCanary(shards int) bool {
	return e.cfg.CanaryShards > 0 && shards >= e.cfg.CanaryShards
}

// subrequestLoad holds the total times that the subrequests of a query spent at
// leafs, and whether any of them was shed.
type subrequestLoad struct {
	queueTime, serviceTime time.Duration
	shed                   bool
}

// release ends the admission of a query and records its load.
func (e *Entry) release(service note.Service, elapsed time.Duration, l subrequestLoad) {
	sample := limit.Sample{Elapsed: elapsed, QueueTime: l.queueTime, ServiceTime: l.serviceTime}
	if l.shed {
		sample.Outcome = limit.Shed
	}
	if err := e.admission.Done(service.Name, sample); err != nil {
		e.countViolation("admission")
	}
	if e.onAdmission != nil {
		_, waiting, limit := e.admission.Load(service.Name)
		e.onAdmission(service.Name, limit, waiting)
	}
}
