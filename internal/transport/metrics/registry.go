package metrics

import (
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// registry keeps a list of its collectors, so that their metrics can be described
// before they have any series.
type registry struct {
	*prometheus.Registry
	mu         sync.Mutex
	collectors []prometheus.Collector
}

// Register adds a collector.
func (r *registry) Register(c prometheus.Collector) error {
	if err := r.Registry.Register(c); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectors = append(r.collectors, c)
	return nil
}

// MustRegister adds collectors and panics if one cannot be registered.
func (r *registry) MustRegister(list ...prometheus.Collector) {
	for _, c := range list {
		if err := r.Register(c); err != nil {
			panic(err)
		}
	}
}

// Description describes one metric of this program.
type Description struct {
	Name   string
	Labels []string
	Help   string
}

// descPattern parses the text form of a prometheus.Desc, which has no accessors.
var descPattern = regexp.MustCompile(`^Desc\{fqName: "(hickorydock_[a-z_]+)", help: "(.*)", unit: ".*", constLabels: \{.*\}, variableLabels: \{(.*)\}\}$`)

// Describe lists the metrics of this program, sorted by name, without those of
// the Go runtime and of the process.
func (m *Metrics) Describe() []Description {
	m.registry.mu.Lock()
	defer m.registry.mu.Unlock()
	var list []Description
	for _, c := range m.registry.collectors {
		channel := make(chan *prometheus.Desc)
		go func() {
			defer close(channel)
			c.Describe(channel)
		}()
		for desc := range channel {
			if parts := descPattern.FindStringSubmatch(desc.String()); parts != nil {
				list = append(list, Description{Name: parts[1], Help: parts[2], Labels: splitLabels(parts[3])})
			}
		}
	}
	slices.SortFunc(list, func(a, b Description) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func splitLabels(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
