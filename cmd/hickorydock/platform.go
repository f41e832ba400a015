package main

import (
	"errors"
	"os"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/coordination/reconcile"
	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
)

// platformVariable names the environment variable with the platform's URL.
const platformVariable = "HICKORYDOCK_PLATFORM_URL"

// bindPlatform declares the flag for the platform's URL.
func bindPlatform(flags *flaggy.Subcommand, url *string) {
	flags.String(url, "p", "platform", "Base URL of the platform's object API; "+platformVariable+" when not given.")
}

// platformURL returns the URL of the flag, else that of the environment, else the
// default.
func platformURL(flag string) string {
	if flag != "" {
		return flag
	}
	if url := os.Getenv(platformVariable); url != "" {
		return url
	}
	return settings.Default().Platform.URL
}

// connectPlatform returns a client for the URL of the flag or the environment.
// For https it uses the same TLS variables as nodes.
func connectPlatform(flag string) (platform.Client, error) {
	s := settings.Default()
	s.Platform.URL = platformURL(flag)
	tls, err := credentials.New(settings.TLS{
		PlatformCA: os.Getenv("HICKORYDOCK_TLS_PLATFORM_CA"),
		NodeCert:   os.Getenv("HICKORYDOCK_TLS_NODE_CERT"),
		NodeKey:    os.Getenv("HICKORYDOCK_TLS_NODE_KEY"),
	})
	if err != nil {
		return nil, usageError("%w", err)
	}
	return node.NewPlatformClient(s, tls), nil
}

// readNote reads and parses a note. Faults in the note exit as failed, not as wrong
// usage.
func readNote(file string) (note.Document, error) {
	if file == "" {
		return note.Document{}, usageError("name the file of a release note")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return note.Document{}, usageError("release note: %w", err)
	}
	document, faults := note.ParseDocument(file, text)
	if len(faults) > 0 {
		return note.Document{}, &exitError{code: exitFailed, err: faults}
	}
	return document, nil
}

// locateInvalidEntries turns the error on entries that do not fit the catalogue into
// faults with their lines. It returns other errors unchanged.
func locateInvalidEntries(document note.Document, err error) error {
	var invalid *reconcile.InvalidEntries
	if !errors.As(err, &invalid) {
		return err
	}
	var faults note.Faults
	for _, entry := range invalid.Entries {
		faults = append(faults, document.Fault(entry.Field, entry.Message))
	}
	return &exitError{code: exitFailed, err: faults}
}
