package main

// Adapters to platforms register themselves.
import _ "github.com/hickorydock/hickorydock/platform"
