// Package status renders the status page of a node: the services of the current
// catalogue with their latency and coverage, and the leafs, with the reason if one
// is ejected. The page is read-only and contains no secrets.
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

// Sources are the data sources of the page, read for each request.
type Sources struct {
	NodeID           string
	AvailabilityZone string
	// Catalogue returns the current catalogue; false before the first one.
	Catalogue func() (note.Catalogue, bool)
	// Ready returns the reason why the node accepts no work, or nil.
	Ready func() error
	// VMs returns the leafs.
	VMs func() []platform.VM
	// LeafTable holds the measurements of each leaf.
	LeafTable *leaf.Table
	// Services returns a summary of the answers for each service.
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
	// EjectionReason is the reason why the leaf receives little or no work; empty if
	// there is none.
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

// New returns a page that reads from sources.
func New(sources Sources) *Page { return &Page{sources: sources} }

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("status").Parse(pageHTML))

// ServeHTTP renders the page.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var out strings.Builder
	if err := pageTemplate.Execute(&out, p.View(time.Now())); err != nil {
		http.Error(w, "the page cannot be rendered", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write([]byte(out.String())) // the client may have disconnected
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
		list[i] = Leaf{VM: vm, Stats: stats, EjectionReason: ejectionReason(stats, p.cost(vm), median(costs[vm.Group]))}
	}
	return list
}

// cost ignores the availability zone, since a leaf in another one is not ejected for it.
func (p *Page) cost(vm platform.VM) float64 {
	return replica.Cost(shardmap.Replica{VM: vm, Record: p.sources.LeafTable.Record(vm.ID)}, vm.AvailabilityZone)
}

// ejectionReason returns the reason why a leaf receives less work than the others of
// its group, or an empty string.
func ejectionReason(s leaf.Stats, cost, typical float64) string {
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
