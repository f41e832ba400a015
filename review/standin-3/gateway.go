package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of a small deployment, as in the settings of its machines.
const (
	drainMs            = 3000
	configApplyMs      = 3000
	graceS             = 6
	heartbeatMs        = 1200
	retryBudgetRatio   = 0.2
	retryBudgetSlack   = 54
	memoryMb           = 284
	maxFds             = 4100
	stableWindow       = 4 * time.Second
	readyTimeout       = 15 * time.Second
	startRetryInterval = 50 * time.Millisecond
)

// world is what a script has started.
type world struct {
	record   *record
	binary   string
	dir      string
	trouble  bool
	started  time.Time
	store    *store
	gateways []*gateway
	// served is the number of requests that were served.
	served atomic.Int64
	// ip and port are those of the last address of a gateway.
	ip      string
	port    int
	closers []func()
}

// gateway is one gateway process.
type gateway struct {
	w                           *world
	name, zone                  string
	callers, admin, peer, stats string
	config                      string
	log                         *os.File
	// mu is held while the process is replaced.
	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// starts passes processes to the one thread that starts them. They end with that thread, so that
// none is left when this process is killed.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// minServed is the number of requests that have to be served for a script to count.
const minServed = 50

// answered records an answer.
func (w *world) answered(g *gateway, id string, a answer) {
	if a.status == http.StatusOK {
		w.served.Add(1)
	}
	w.record.printf("%s answers %s with %d %v", g.name, id, a.status, a.err)
}

// check returns an error if the script says nothing: a gateway has ended by itself, or hardly any
// request was served.
func (w *world) check() error {
	for _, g := range w.gateways {
		if !g.isRunning() {
			return fmt.Errorf("%s has ended by itself", g.name)
		}
	}
	if n := w.served.Load(); n < minServed {
		return fmt.Errorf("%d requests were served, %d are needed", n, minServed)
	}
	return nil
}

// close ends every process and listener of the script.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, c := range w.closers {
		c()
	}
}

// firstPort is the first port of the gateways, below those that the system gives to connections.
const firstPort = 10000

// freeAddress returns an address whose port is free for TCP and UDP, at a loopback address of its
// own for each script, so that connections of other processes do not take it.
func (w *world) freeAddress() (string, error) {
	if w.ip == "" {
		w.ip = fmt.Sprintf("127.%d.%d.%d", 65+rand.IntN(60), rand.IntN(250), 1+rand.IntN(250))
		w.port = firstPort
	}
	for range 50 {
		w.port++
		address := fmt.Sprintf("%s:%d", w.ip, w.port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err == nil {
			_ = p.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

// startGateways starts n gateways in the given zones and waits until they are ready.
func (w *world) startGateways(n int, zones []string) error {
	if w.store == nil {
		w.store = newStore()
	}
	var seeds []string
	for i := range n {
		g := &gateway{w: w, name: fmt.Sprintf("frontend-%d", i+1), zone: zones[i%len(zones)]}
		for _, address := range []*string{&g.callers, &g.admin, &g.peer, &g.stats} {
			var err error
			if *address, err = w.freeAddress(); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, g.peer)
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.configure(seeds); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.waitReady(); err != nil {
			return err
		}
	}
	w.record.printf("%d gateways are ready", n)
	return nil
}

// configure writes the settings file, as the template of the deploy file fills it in.
func (g *gateway) configure(seeds []string) error {
	url, stop, err := g.w.store.listen(g.name)
	if err != nil {
		return err
	}
	g.w.closers = append(g.w.closers, stop)
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(`[node]
id = %q
availability_zone = %q
caller_address = %q
admin_address = %q
metrics_address = %q
peer_address = %q
bootstrap_peers = [%s]

[platform]
url = "http://%s"
timeout_ms = 1000

[forward]
adapter = "trust"
extra_share = %v
extra_slack = %v
grace_s = %d
apply_ms = %d
drain_ms = %d
leaf_heartbeat_ms = %d
`, g.name, g.zone, g.callers, g.admin, g.stats, g.peer, strings.Join(quoted, ", "), url, retryBudgetRatio, retryBudgetSlack, graceS, configApplyMs, drainMs, heartbeatMs)
	g.config = filepath.Join(g.w.dir, g.name+".toml")
	if err := os.WriteFile(g.config, []byte(text), 0o600); err != nil {
		return err
	}
	g.log, err = os.Create(filepath.Join(g.w.dir, g.name+".log"))
	return err
}

// start starts the process by the command of the deploy file.
func (g *gateway) start() error {
	g.process = exec.Command(g.w.binary, "gateway", "--config", g.config)
	g.process.Env = append(os.Environ(), "HICKORYDOCK_EVACUATE_MS=", fmt.Sprintf("HICKORYDOCK_MEMORY_MB=%d", memoryMb), fmt.Sprintf("HICKORYDOCK_DESCRIPTORS=%d", maxFds))
	g.process.Stdout, g.process.Stderr = g.log, g.log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	starts <- func() { failed <- g.process.Start() }
	if err := <-failed; err != nil {
		return err
	}
	process, exited := g.process, make(chan struct{})
	g.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// isRunning reports whether the process has not ended.
func (g *gateway) isRunning() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

func (g *gateway) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(startRetryInterval) {
		reply, err := client.Get("http://" + g.admin + "/readyz")
		if err != nil {
			continue
		}
		_ = reply.Body.Close()
		if reply.StatusCode == http.StatusOK {
			return nil
		}
	}
	text, _ := os.ReadFile(g.log.Name())
	return fmt.Errorf("%s is not ready: %s", g.name, text[max(len(text)-500, 0):])
}

func (g *gateway) signal(s syscall.Signal) {
	if g.process != nil && g.process.Process != nil {
		_ = g.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.exited == nil {
		return
	}
	_ = g.process.Process.Kill()
	<-g.exited
}
