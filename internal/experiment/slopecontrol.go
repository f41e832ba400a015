package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/coordination/budget"
	"github.com/hickorydock/hickorydock/internal/coordination/latency"
	"github.com/hickorydock/hickorydock/internal/coordination/ownership"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

var memberSource = slopeSource{
	name: "member", unit: unitMicroseconds, sizeUnit: "member in one assignment of 2,900 leafs to relays",
	sizes: []int{77, 153, 305, 610},
	prepare: func(context.Context) (func(int) (float64, error), func(), error) {
		largest := fleetSizes[len(fleetSizes)-1]
		leafs := largest.leafs()
		value := func(members int) (float64, error) {
			const repeats = 5
			fleet := fleetSize{nodes: members, zones: largest.zones}.members()
			used, err := cpuMicroseconds(func() error {
				for range repeats {
					if _, err := ownership.Assign(fleet, leafs, ownership.DefaultConfig()); err != nil {
						return err
					}
				}
				return nil
			})
			return used / repeats, err
		}
		return value, noCleanup, nil
	},
}

var leafMemorySource = slopeSource{
	name: "leaf_memory", unit: unitBytes, sizeUnit: "leaf in the shard map with its record",
	sizes: []int{400, 800, 1600, 2900},
	prepare: func(context.Context) (func(int) (float64, error), func(), error) {
		value := func(leafs int) (float64, error) {
			const groups = 5
			return heapGrowth(func() (any, error) {
				var stores []any
				for range groups {
					stores = append(stores, newSlopeStore(experimentService(0), leafs/groups/2, 2))
				}
				return stores, nil
			})
		}
		return value, noCleanup, nil
	},
}

var leafChangeSource = slopeSource{
	name: "leaf_change", unit: unitMicroseconds, sizeUnit: "leaf of a group when one leaf's manifest changes",
	sizes: []int{72, 144, 290, 580},
	prepare: func(context.Context) (func(int) (float64, error), func(), error) {
		value := func(leafs int) (float64, error) {
			const repeats = 50
			service := experimentService(0)
			store := newSlopeStore(service, leafs/2, 2)
			used, err := cpuMicroseconds(func() error {
				for i := range repeats {
					next := query.Snapshot{Generation: 1, Version: uint64(i%2 + 1)}
					store.SetManifest(slopeVM(service, 0, 0), slopeManifest(service, leafs/2, 0, 0, next), time.Now())
				}
				return nil
			})
			return used / repeats, err
		}
		return value, noCleanup, nil
	},
}

// slopeServices returns a catalogue of n services.
func slopeServices(n int) note.Catalogue {
	c := note.Catalogue{Revision: 1}
	for i := range n {
		s := experimentService(0.05)
		s.Name = fmt.Sprintf("service-%03d", i)
		s.UpstreamGroup = s.Name
		c.Services = append(c.Services, s)
	}
	return c
}

// serviceState is the state of a node for one service besides its specification.
type serviceState struct {
	hedges *budget.Budget
	window *latency.Window
}

func newServiceState(s note.Service) serviceState {
	return serviceState{budget.New(s.HedgeShare), latency.NewWindow(1 - s.HedgeShare)}
}

var serviceMemorySource = slopeSource{
	name: "service_memory", unit: unitBytes, sizeUnit: "service: specification, budget and latency window",
	sizes: []int{50, 100, 200, 400},
	prepare: func(context.Context) (func(int) (float64, error), func(), error) {
		value := func(services int) (float64, error) {
			return heapGrowth(func() (any, error) {
				text, err := json.Marshal(slopeServices(services))
				if err != nil {
					return nil, err
				}
				var c note.Catalogue
				if err := json.Unmarshal(text, &c); err != nil {
					return nil, err
				}
				states := make(map[string]serviceState)
				for _, s := range c.Services {
					states[s.Name] = newServiceState(s)
				}
				return []any{c, states}, nil
			})
		}
		return value, noCleanup, nil
	},
}

var changeSource = slopeSource{
	name: "change", unit: unitMicroseconds, sizeUnit: "service in the catalogue when a change is decoded; the base is the change's",
	sizes: []int{50, 100, 200, 400},
	prepare: func(context.Context) (func(int) (float64, error), func(), error) {
		value := func(services int) (float64, error) {
			const repeats = 40
			text, err := json.Marshal(slopeServices(services))
			if err != nil {
				return 0, err
			}
			used, err := cpuMicroseconds(func() error {
				for range repeats {
					var c note.Catalogue
					if err := json.Unmarshal(text, &c); err != nil {
						return err
					}
				}
				return nil
			})
			return used / repeats, err
		}
		return value, noCleanup, nil
	},
}
