package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// NodeReport is the state of one node.
type NodeReport struct {
	Node             string `json:"node"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	// Revision is the last one that the node reported as current; 0 if there is no
	// report.
	Revision uint64 `json:"revision"`
	// At is the time of the report; zero if there is none.
	At time.Time `json:"at,omitzero"`
	// Listed is true when the platform lists the node's VM as live.
	Listed bool `json:"listed"`
	// Live is true when the node reported recently, or is listed and never reported.
	// It is false when the platform lists the VM in a state other than live.
	Live bool `json:"live"`
	// Behind is true when the node is live and has not reported the stored revision.
	Behind bool `json:"behind"`
}

// Report is the state of the catalogue and of every node.
type Report struct {
	Revision uint64         `json:"revision"`
	Services []note.Service `json:"services"`
	Nodes    []NodeReport   `json:"nodes"` // sorted by name
}

// Behind returns the names of the live nodes that have not reported the stored
// revision.
func (r Report) Behind() []string {
	var names []string
	for _, n := range r.Nodes {
		if n.Behind {
			names = append(names, n.Node)
		}
	}
	return names
}

// Status reads the stored catalogue, the nodes' reports and the platform's list of
// nodes, with three calls of the platform.
func Status(ctx context.Context, client platform.Client) (Report, error) {
	stored, err := ReadCatalogue(ctx, client)
	if err != nil {
		return Report{}, err
	}
	nodes, err := readNodes(ctx, client)
	if err != nil {
		return Report{}, err
	}
	report := Report{Revision: stored.Catalogue.Revision, Services: stored.Catalogue.Services}
	for _, n := range nodes {
		n.Behind = n.Live && n.Revision < report.Revision
		report.Nodes = append(report.Nodes, n)
	}
	return report, nil
}

// readNodes joins the nodes' reports with the platform's list, sorted by name.
func readNodes(ctx context.Context, client platform.Client) ([]NodeReport, error) {
	statuses, err := listDecoded[platform.NodeStatus](ctx, client, platform.KindNode)
	if err != nil {
		return nil, err
	}
	vms, err := listDecoded[platform.VM](ctx, client, platform.KindVM)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	byName := map[string]NodeReport{}
	for _, s := range statuses {
		byName[s.Node] = NodeReport{
			Node: s.Node, AvailabilityZone: s.AvailabilityZone, Revision: s.Revision, At: s.At, Live: s.IsFresh(now),
		}
	}
	for _, vm := range vms {
		if vm.Group != platform.NodeGroup {
			continue
		}
		n, reported := byName[vm.ID]
		n.Node, n.AvailabilityZone = vm.ID, vm.AvailabilityZone
		n.Listed = vm.State == platform.VMLive
		n.Live = n.Listed && (n.Live || !reported)
		byName[vm.ID] = n
	}
	nodes := make([]NodeReport, 0, len(byName))
	for _, n := range byName {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b NodeReport) int { return strings.Compare(a.Node, b.Node) })
	return nodes, nil
}

// listDecoded lists all objects of a kind and decodes their values.
func listDecoded[T any](ctx context.Context, client platform.Client, kind platform.Kind) ([]T, error) {
	listing, err := client.List(ctx, kind)
	if err != nil {
		return nil, err
	}
	values := make([]T, len(listing.Objects))
	for i, object := range listing.Objects {
		if err := json.Unmarshal(object.Value, &values[i]); err != nil {
			return nil, fault.Wrap(err, fault.StepPlatform, object.Name, "%s is not readable", kind)
		}
	}
	return values, nil
}

// pollInterval is the time between two reads while WaitForRevision waits.
const pollInterval = 500 * time.Millisecond

// NodesBehindError is returned when live nodes have not reported a revision in time.
type NodesBehindError struct {
	Revision uint64
	Nodes    []string
}

// Error names the nodes.
func (b *NodesBehindError) Error() string {
	return fmt.Sprintf("%d nodes have not reported revision %d: %s", len(b.Nodes), b.Revision, strings.Join(b.Nodes, ", "))
}

// WaitForRevision returns when every live node reports at least a revision. When
// ctx ends first, the error is *NodesBehindError with the nodes that are behind, or
// the platform's error if the nodes could not be read.
func WaitForRevision(ctx context.Context, client platform.Client, revision uint64) error {
	var lastErr error
	for {
		nodes, err := readNodes(ctx, client)
		if err == nil {
			behind := &NodesBehindError{Revision: revision}
			for _, n := range nodes {
				if n.Live && n.Revision < revision {
					behind.Nodes = append(behind.Nodes, n.Node)
				}
			}
			if len(behind.Nodes) == 0 {
				return nil
			}
			lastErr = behind
		} else if ctx.Err() == nil || lastErr == nil {
			lastErr = err
		}
		if !sleep(ctx, pollInterval) {
			return lastErr
		}
	}
}

// Export returns a note that adds all current services to an empty catalogue.
func Export(ctx context.Context, client platform.Client, author string) (note.Note, error) {
	stored, err := ReadCatalogue(ctx, client)
	if err != nil {
		return note.Note{}, err
	}
	return note.Note{
		ID:     fmt.Sprintf("export-%d", stored.Catalogue.Revision),
		Author: author,
		Added:  stored.Catalogue.Services,
	}, nil
}

// History returns the applied notes, oldest first.
func History(ctx context.Context, client platform.Client) ([]note.Applied, error) {
	stored, err := ReadCatalogue(ctx, client)
	return stored.Catalogue.History, err
}
