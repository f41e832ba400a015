package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
	"github.com/hickorydock/hickorydock/internal/protocol/upstream"
	"github.com/hickorydock/hickorydock/internal/standin/leaf"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
)

var standinCommand = command{
	name:    "standin",
	summary: "Run a stand-in platform or leaf as a process of its own, for trials.",
	examples: `Stand-ins keep nothing and are not for production.
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
}

func bindStandin(flags *flaggy.Subcommand) runFunc {
	opts := standinOptions{listen: "127.0.0.1:0", shards: 1, median: 3 * time.Millisecond}
	flags.AddPositionalValue(&opts.kind, "kind", 1, true, "platform or leaf.")
	flags.String(&opts.listen, "l", "listen", "Address to listen on, ip:port.")
	flags.String(&opts.service, "s", "service", "Service of a leaf's shard.")
	flags.Int(&opts.shard, "", "shard", "Shard that a leaf holds.")
	flags.Int(&opts.shards, "", "shards", "Number of shards of the service.")
	flags.Duration(&opts.median, "m", "median", "Median service time of a leaf.")
	return func(ctx context.Context, out, _ io.Writer) error {
		return runStandin(ctx, opts, out)
	}
}

func runStandin(ctx context.Context, opts standinOptions, out io.Writer) error {
	switch opts.kind {
	case "platform":
		return serveStandin(ctx, opts.listen, standin.New(standin.Options{}), out)
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
	<-ctx.Done()
	return l.Stop(context.WithoutCancel(ctx))
}

func serveStandin(ctx context.Context, address string, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "http://%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close() // watches never end by themselves
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
