package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	client "github.com/hickorydock/hickorydock/internal/transport/platform"
)

var standinCommand = command{
	name:    "standin",
	summary: "Run a stand-in platform or leaf as a separate process, for trials.",
	examples: `Stand-ins persist nothing and are not for production.
Examples:
  hickorydock standin platform --listen 127.0.0.1:8500
  hickorydock standin leaf --listen 127.0.0.1:9001 --service licence-desk --shard 0 --shards 2`,
	bind: bindStandin,
}

// standinOptions are the flags of standin.
type standinOptions struct {
	kind    string
	listen  string
	service string
	shard   int
	shards  int
	median  time.Duration
	// platform is the base URL of the platform whose list of VMs a leaf is added
	// to; if it is empty, the leaf is not listed.
	platform string
}

func bindStandin(flags *flaggy.Subcommand) runFunc {
	opts := standinOptions{listen: "127.0.0.1:0", shards: 1, median: 3 * time.Millisecond}
	flags.AddPositionalValue(&opts.kind, "kind", 1, true, "platform or leaf.")
	flags.String(&opts.listen, "l", "listen", "Address to listen on, ip:port.")
	flags.String(&opts.service, "s", "service", "Service of a leaf's shard.")
	flags.Int(&opts.shard, "", "shard", "Shard that a leaf holds.")
	flags.Int(&opts.shards, "", "shards", "Number of shards of the service.")
	flags.Duration(&opts.median, "m", "median", "Median service time of a leaf.")
	flags.String(&opts.platform, "p", "platform", "Base URL of the platform whose list of VMs a leaf is added to.")
	return func(ctx context.Context, out, _ io.Writer) error {
		return runStandin(ctx, opts, out)
	}
}

func runStandin(ctx context.Context, opts standinOptions, out io.Writer) error {
	switch opts.kind {
	case "platform":
		return serveHandler(ctx, opts.listen, standin.New(standin.Options{}), out)
	case "leaf":
		return serveLeaf(ctx, opts, out)
	default:
		return usageError("kind %q is neither platform nor leaf", opts.kind)
	}
}

func serveLeaf(ctx context.Context, opts standinOptions, out io.Writer) error {
	if opts.service == "" || opts.shard < 0 || opts.shard >= opts.shards {
		return usageError("a leaf needs --service and a --shard below --shards")
	}
	l := leaf.New(leaf.Options{
		ID:          fmt.Sprintf("%s-%d", opts.service, opts.shard),
		ServiceTime: leaf.ServiceTime{Median: opts.median, Sigma: 0.3},
		Holdings: []upstream.Holding{{
			Service:    opts.service,
			Snapshot:   query.Snapshot{Generation: 1, Version: 1},
			ShardCount: opts.shards,
			Shards:     []int{opts.shard},
		}},
	})
	address, err := l.Start(opts.listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "http://%s\n", address)
	if opts.platform != "" {
		if err := registerLeaf(ctx, opts, l, address); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return l.Stop(context.WithoutCancel(ctx))
}

// registerLeaf adds a leaf to the stand-in platform's list of VMs. A real platform
// maintains that list itself.
func registerLeaf(ctx context.Context, opts standinOptions, l *leaf.Leaf, address string) error {
	vm, err := json.Marshal(platform.VM{
		ID: l.ID(), Group: opts.service, Address: address, AvailabilityZone: l.AvailabilityZone(), State: platform.VMLive,
	})
	if err != nil {
		return err
	}
	api := client.New(client.Config{BaseURL: opts.platform, Timeout: standinTimeout})
	_, err = api.Create(ctx, platform.KindVM, l.ID(), vm)
	return err
}

// standinTimeout bounds a stand-in's calls and the reading of a request's header.
const standinTimeout = 5 * time.Second

func serveHandler(ctx context.Context, address string, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "http://%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close() // Shutdown would wait for watches, which do not end on their own
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
