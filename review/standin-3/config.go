package main

// configuration is what the operator writes.
type configuration struct {
	Version  int            `json:"version"`
	Routes   []routeEntry   `json:"routes"`
	Services []serviceEntry `json:"services"`
	Limits   limitsEntry    `json:"limits"`
}

type routeEntry struct {
	Name            string   `json:"name"`
	Hostname        string   `json:"hostname"`
	PathPrefix      string   `json:"pathPrefix"`
	Type            string   `json:"type"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Attempts        int      `json:"attempts"`
	Service         string   `json:"service,omitempty"`
	ShardServices   []string `json:"shardServices,omitempty"`
	TopK            int      `json:"topK,omitempty"`
	MinCoverage     float64  `json:"minCoverage,omitempty"`
}

type serviceEntry struct {
	Name            string `json:"name"`
	HealthCheckPath string `json:"healthCheckPath"`
	MaxConnections  int    `json:"maxConnections"`
	Protocol        string `json:"protocol"`
	TLS             bool   `json:"tls"`
}

type limitsEntry struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// host is the host of all routes.
const host = "pupu76.example"

// usualLimits are those of the small deployments.
var usualLimits = limitsEntry{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// deskRoute is a route to one leaf of a service.
func deskRoute(kind string, timeoutMs int) routeEntry {
	return routeEntry{Name: "r-desk", Hostname: host, PathPrefix: "/desk/", Type: kind, TimeoutMs: timeoutMs, TargetLatencyMs: 400, Priority: 2, Service: "desk", Attempts: 2}
}

// configure writes a configuration with the given routes to the service desk.
func (w *world) configure(version int, routes ...routeEntry) {
	w.configureServices(version, routes, "desk")
}

// configureServices writes a configuration with the given routes and services.
func (w *world) configureServices(version int, routes []routeEntry, services ...string) {
	c := configuration{Version: version, Routes: routes, Limits: usualLimits}
	for _, name := range services {
		c.Services = append(c.Services, serviceEntry{Name: name, HealthCheckPath: "/health", MaxConnections: 100, Protocol: "h1"})
	}
	w.store.put("config", "main", c)
}
