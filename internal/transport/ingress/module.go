package ingress

import (
	"errors"
	"fmt"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/coordination/eviction"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// Module provides the limiter of a process.
var Module = fx.Module("ingress", fx.Provide(provide))

func provide(s settings.Settings, m *metrics.Metrics, logger log.Interface) (*Limiter, error) {
	plan, err := PlanOf(s)
	if err != nil {
		return nil, err
	}
	g := NewLimiter(plan, m, logger)
	gauge := func(name, help string, value func() int64) error {
		return m.Registerer().Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "hickorydock", Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	err = errors.Join(
		gauge("client_memory_bytes", "Memory that clients make this node hold.", g.pool.Used),
		gauge("client_memory_limit_bytes", "Memory that clients may make this node hold.", g.pool.Limit),
	)
	return g, err
}

// Memory of a process whose settings state none, unless its machine has less. Answers of serve may
// be a multiple of those of a gateway.
const (
	gatewayMemory = 256 << 20
	nodeMemory    = 1 << 30
)

// PlanOf divides the memory and the descriptors that the settings state. Without them it takes
// the usual memory of the process and the descriptors that the operating system allows.
func PlanOf(s settings.Settings) (eviction.Plan, error) {
	l := s.Limits
	memoryBytes := l.MemoryMB << 20
	if memoryBytes == 0 {
		var info syscall.Sysinfo_t
		if err := syscall.Sysinfo(&info); err != nil {
			return eviction.Plan{}, fmt.Errorf("read the memory of the machine: %w", err)
		}
		usual := int64(nodeMemory)
		if s.Forward.Adapter != "" {
			usual = gatewayMemory
		}
		memoryBytes = min(int64(info.Totalram)*int64(info.Unit), usual)
	}
	descriptors := l.Descriptors
	if descriptors == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return eviction.Plan{}, fmt.Errorf("read the limit of descriptors: %w", err)
		}
		descriptors = int64(min(limit.Cur, maxDescriptors))
	}
	return eviction.NewPlan(memoryBytes, int(descriptors)), nil
}

// maxDescriptors stands for a limit of descriptors that is infinite.
const maxDescriptors = 1 << 20

// BoundHeap makes the collector keep the heap of the process within a plan.
func BoundHeap(plan eviction.Plan) { debug.SetMemoryLimit(plan.HeapBytes) }
