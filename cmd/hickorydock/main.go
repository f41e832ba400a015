// Command hickorydock is a query tier over many shards: one binary whose
// subcommands serve queries, manage release notes and measure.
package main

func main() {}
