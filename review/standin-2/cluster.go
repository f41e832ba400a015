package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is heartbeatMs of the small deployments.
const heartbeat = 1200 * time.Millisecond

// cluster is a small deployment on loopback: the store, leafs and gateways.
type cluster struct {
	store    *store
	repo     string
	dir      string // temporary
	record   *record
	started  time.Time
	mu       sync.Mutex
	leafs    []*leaf
	closing  sync.Mutex
	gateways []*gateway
}

// gateway is one process of the project.
type gateway struct {
	name, zone, ip        string
	front, ready, control string
	config                string
	command               *exec.Cmd
	exited                chan struct{}
	exitedAt              time.Time
}

func newCluster(repo string, rec *record) (*cluster, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &cluster{store: s, repo: repo, dir: dir, record: rec, started: time.Now()}, nil
}

// close ends all processes that the cluster has started.
func (c *cluster) close() {
	c.closing.Lock() // and keeps it: a second call waits for the end of the program
	for _, g := range c.gateways {
		if g.command != nil && g.command.Process != nil {
			_ = g.command.Process.Kill()
			<-g.exited
		}
	}
	_ = c.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// freeAddress returns a free port of a loopback address.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addGateways starts gateways with the template of the deploy file and waits until they are
// ready.
func (c *cluster) addGateways(zones ...string) error {
	net24 := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", net24, i+1)}
		for _, address := range []*string{&g.front, &g.ready, &g.control} {
			var err error
			if *address, err = freeAddress(g.ip); err != nil {
				return err
			}
		}
		c.gateways = append(c.gateways, g)
	}
	for _, g := range c.gateways {
		if err := c.configure(g); err != nil {
			return err
		}
		if err := c.start(g); err != nil {
			return err
		}
	}
	for _, g := range c.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// configure writes a gateway's settings, with the figures of the small deployments.
func (c *cluster) configure(g *gateway) error {
	template, err := os.ReadFile(filepath.Join(c.repo, "deploy", "gateway.toml"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range c.gateways[:min(3, len(c.gateways))] {
		seeds = append(seeds, `"`+other.control+`"`)
	}
	text := strings.NewReplacer(
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","),
		"{{node}}", g.name, "{{zone}}", g.zone, "{{ip}}", g.ip,
		"{{listenAddrs.front}}", g.front, "{{listenAddrs.ready}}", g.ready, "{{listenAddrs.control}}", g.control,
		"{{platform.address}}", c.store.address,
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetSlack}}", "54", "{{bounds.graceS}}", "6",
		"{{bounds.configApplyMs}}", "3000", "{{bounds.drainMs}}", "3000", "{{heartbeatMs}}", "1200",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template has placeholders that this script does not know:\n%s", text)
	}
	g.config = filepath.Join(c.dir, g.name+".toml")
	return os.WriteFile(g.config, []byte(text), 0o600)
}

func (c *cluster) start(g *gateway) error {
	log, err := os.Create(filepath.Join(c.dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command(filepath.Join(c.repo, "target", "hickorydock"), "gateway", "--config", g.config)
	g.command.Dir = c.repo
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "HICKORYDOCK_BOOT=" + g.config, "HICKORYDOCK_EVACUATE_MS="}
	g.command.Stdout, g.command.Stderr = log, log
	if err := startBound(g.command); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		_ = g.command.Wait()
		g.exitedAt = time.Now()
		close(g.exited)
	}()
	return nil
}

// startBound starts a process that the kernel ends together with this one. The signal comes when
// the thread that started the process ends, so that thread is kept.
func startBound(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		started <- command.Start()
		select {}
	}()
	return <-started
}

// signal sends a signal to the gateway's process.
func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// isReady asks the gateway as the platform does.
func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, limit)
}

// route is a route of the configuration.
type route struct {
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

// configureRoutes writes a configuration.
func (c *cluster) configureRoutes(version int, maxConnections int, routes ...route) {
	var services []map[string]any
	seen := map[string]bool{}
	for _, r := range routes {
		for _, name := range append([]string{r.Service}, r.ShardServices...) {
			if name != "" && !seen[name] {
				seen[name] = true
				services = append(services, map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": maxConnections, "protocol": "h1", "tls": false})
			}
		}
	}
	c.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
