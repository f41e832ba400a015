package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Names of the deployment.
const (
	host          = "pupu76.example"
	lookService   = "licence-desk"
	onceService   = "complaints"
	lookPrefix    = "/licence-look/"
	oncePrefix    = "/complaint/"
	sweepPrefix   = "/buyer-sweep/"
	shards        = 20
	lookDeadline  = 2 * time.Second
	sweepDeadline = 600 * time.Millisecond
	// lookWork and sweepWork are the usual times of a leaf for a request.
	lookWork  = 90 * time.Millisecond
	sweepWork = 11 * time.Millisecond
)

var zones = []string{"brum-a", "brum-b", "cov", "wolves"}

func shardName(i int) string { return fmt.Sprintf("counter-check-%d", i) }

// deploy registers the leafs and writes the configuration of a small deployment.
func (f *fleet) deploy() error {
	add := func(service string, n int, work time.Duration) error {
		for i := range n {
			l, err := newLeaf(service, zones[i%len(zones)], i, work, f.record)
			if err != nil {
				return err
			}
			f.store.put("servers", l.id, l.entry())
		}
		return nil
	}
	names := []string{}
	for i := range shards {
		names = append(names, shardName(i))
		if err := add(shardName(i), 2, sweepWork); err != nil {
			return err
		}
	}
	if err := add(lookService, 4, lookWork); err != nil {
		return err
	}
	if err := add(onceService, 4, lookWork); err != nil {
		return err
	}
	f.configure(names)
	return nil
}

// configure writes the configuration, with a route over the named shards if there are any.
func (f *fleet) configure(shards []string) {
	services := []any{
		map[string]any{"name": lookService, "healthCheckPath": "/health", "maxConnections": 100},
		map[string]any{"name": onceService, "healthCheckPath": "/health", "maxConnections": 100},
	}
	routes := []any{
		map[string]any{"name": "r-look", "hostname": host, "pathPrefix": lookPrefix, "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "service": lookService, "attempts": 2},
		map[string]any{"name": "r-once", "hostname": host, "pathPrefix": oncePrefix, "type": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "service": onceService, "attempts": 2},
	}
	for _, name := range shards {
		services = append(services, map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 26})
	}
	if len(shards) > 0 {
		routes = append(routes, map[string]any{"name": "r-sweep", "hostname": host, "pathPrefix": sweepPrefix, "type": "idempotent", "timeoutMs": 600, "targetLatencyMs": 100, "priority": 1, "shardServices": shards, "attempts": 2, "topK": 50, "minCoverage": 0.89})
	}
	f.store.put("config", "main", map[string]any{"version": 7, "routes": routes, "services": services, "limits": json.RawMessage(configLimits)})
}
