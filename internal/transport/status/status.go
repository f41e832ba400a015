// Package status renders the page on which people see what a node does: the
// services in force with their latency and coverage, and the leafs with the
// reason when one is set aside. The page is read only and holds no secrets.
package status

import (
	_ "embed"
	"html/template"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/replica"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/state/leaf"
	"github.com/hickorydock/hickorydock/internal/state/shardmap"
	"github.com/hickorydock/hickorydock/internal/transport/metrics"
)

// Sources is what the page reads, each time that it is asked for.
type Sources struct {
	NodeID           string
	AvailabilityZone string
	// Catalogue returns the catalogue in force; false before the first one.
	Catalogue func() (note.Catalogue, bool)
	// Ready says why the node takes no work; nil means that it does.
	Ready func() error
	// VMs lists the leafs.
	VMs func() []platform.VM
	// LeafTable holds the measurements of each leaf.
	LeafTable *leaf.Table
	// Services sums up the answers of each service.
	Services func() map[string]metrics.ServiceSummary
}

// Service is one row of the page.
type Service struct {
	note.Service
	metrics.ServiceSummary
}

// Leaf is one row of the page.
type Leaf struct {
	platform.VM
	leaf.Stats
	// EjectionReason says why the leaf receives little or no work; it is empty when
	// the leaf receives its usual part.
	EjectionReason string
}

// View is everything that the page shows.
type View struct {
	NodeID           string
	AvailabilityZone string
	At               time.Time
	Problem          string
	Revision         uint64
	Services         []Service
	Leafs            []Leaf
}

// Page serves the status page. It is safe for concurrent use.
type Page struct {
	sources Sources
}

// New returns the page over its sources.
func New(sources Sources) *Page { return &Page{sources: sources} }

//go:embed page.html
var text string

var page = template.Must(template.New("status").Parse(text))

// ServeHTTP renders the page.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var out strings.Builder
	if err := page.Execute(&out, p.View(time.Now())); err != nil {
		http.Error(w, "the page cannot be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write([]byte(out.String())) // the reader may be gone
}

// View collects what the page shows.
func (p *Page) View(now time.Time) View {
	v := View{NodeID: p.sources.NodeID, AvailabilityZone: p.sources.AvailabilityZone, At: now}
	if err := p.sources.Ready(); err != nil {
		v.Problem = err.Error()
	}
	catalogue, known := p.sources.Catalogue()
	if !known && v.Problem == "" {
		v.Problem = "no catalogue is known yet"
	}
	v.Revision = catalogue.Revision
	summaries := p.sources.Services()
	for _, s := range catalogue.Services {
		v.Services = append(v.Services, Service{s, summaries[s.Name]})
	}
	v.Leafs = p.leafs()
	return v
}

func (p *Page) leafs() []Leaf {
	vms := p.sources.VMs()
	slices.SortFunc(vms, func(a, b platform.VM) int {
		return strings.Compare(a.Group+"\x00"+a.ID, b.Group+"\x00"+b.ID)
	})
	costs := map[string][]float64{}
	for _, vm := range vms {
		costs[vm.Group] = append(costs[vm.Group], p.cost(vm))
	}
	list := make([]Leaf, len(vms))
	for i, vm := range vms {
		stats := p.sources.LeafTable.Record(vm.ID).Stats()
		list[i] = Leaf{VM: vm, Stats: stats, EjectionReason: reason(stats, p.cost(vm), median(costs[vm.Group]))}
	}
	return list
}

// cost leaves out the availability zone: a distant leaf is not set aside.
func (p *Page) cost(vm platform.VM) float64 {
	return replica.Cost(shardmap.Replica{VM: vm, Record: p.sources.LeafTable.Record(vm.ID)}, vm.AvailabilityZone)
}

// reason says why a leaf gets little or no work next to the others of its group.
func reason(s leaf.Stats, cost, typical float64) string {
	switch {
	case s.Draining:
		return "leaving"
	case !replica.IsEjected(cost, typical):
		return ""
	case s.Failures > 0:
		return "failing"
	case s.Unanswered > 0:
		return "silent"
	default:
		return "slow or busy"
	}
}

// median is the lower middle value of a list that is not empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
