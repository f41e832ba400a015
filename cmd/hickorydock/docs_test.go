package main

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/integrii/flaggy"

	"github.com/hickorydock/hickorydock/internal/node"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	client "github.com/hickorydock/hickorydock/internal/transport/platform"
)

var update = flag.Bool("update", false, "rewrite the generated tables of the docs")

const (
	repository     = "../.."
	operationsPage = repository + "/docs/OPERATIONS.md"
)

// TestGeneratedTables checks that the tables of docs/OPERATIONS.md match
// the code. go test ./cmd/hickorydock -update rewrites them.
func TestGeneratedTables(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	want := replaceTable(t, string(page), "settings", settingsTable())
	want = replaceTable(t, want, "metrics", metricsTable(t))
	if string(page) == want {
		return
	}
	if !*update {
		t.Fatal("docs/OPERATIONS.md differs from the code; run go test ./cmd/hickorydock -update")
	}
	if err := os.WriteFile(operationsPage, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}

// replaceTable replaces the text between the begin and end markers of a name by a
// table.
func replaceTable(t *testing.T, page, name, table string) string {
	t.Helper()
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->\n"
	before, rest, hasBegin := strings.Cut(page, begin)
	_, after, hasEnd := strings.Cut(rest, end)
	if !hasBegin || !hasEnd {
		t.Fatalf("docs/OPERATIONS.md has no markers for the table of %s", name)
	}
	return before + begin + table + end + after
}

func settingsTable() string {
	var out strings.Builder
	out.WriteString("| setting | type | default | bounds | variable | meaning |\n|---|---|---|---|---|---|\n")
	for _, f := range settings.Describe() {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s | %s |\n", f.Path, f.Type, codeSpan(f.Default), f.Bounds, codeSpan(f.Env), f.Doc)
	}
	return out.String()
}

func metricsTable(t *testing.T) string {
	t.Helper()
	s := settings.Default()
	s.Node.ID, s.Node.AvailabilityZone = "n1", "a"
	platform := client.New(client.Config{BaseURL: s.Platform.URL})
	n, err := node.New(node.Config{Settings: s, Control: node.PlatformControl(platform)})
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	out.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, d := range n.Metrics().Describe() {
		fmt.Fprintf(&out, "| `%s` | %s | %s |\n", d.Name, strings.Join(d.Labels, ", "), d.Help)
	}
	return out.String()
}

func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// commandLine matches an invocation within a code block.
var commandLine = regexp.MustCompile(`^(?:\$ )?(?:go run \./cmd/hickorydock|hickorydock) (.+)$`)

// commandLines returns the invocations in the code blocks of a page, indented or
// fenced.
func commandLines(page string) []string {
	var found []string
	fenced := false
	for line := range strings.Lines(page) {
		text := strings.TrimSpace(line)
		if strings.HasPrefix(text, "```") {
			fenced = !fenced
		}
		match := commandLine.FindStringSubmatch(text)
		if match != nil && (fenced || strings.HasPrefix(line, "    ")) {
			found = append(found, match[1])
		}
	}
	return found
}

// TestCommandsInTheDocsExist checks that each command line in the docs and in
// the examples of the help names a subcommand and flags that exist.
func TestCommandsInTheDocsExist(t *testing.T) {
	seen := 0
	for _, file := range pages(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range commandLines(string(text)) {
			seen++
			checkCommandLine(t, file, line)
		}
	}
	for _, c := range commands {
		for line := range strings.Lines(c.examples) {
			if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "hickorydock "); ok {
				seen++
				checkCommandLine(t, c.name+" --help", rest)
			}
		}
	}
	if seen < len(commands) {
		t.Errorf("only %d command lines found", seen)
	}
}

// sourcePath matches a path of the source tree in a page; diagrams omit internal/.
var sourcePath = regexp.MustCompile(`\b(?:internal/)?(?:protocol|state|coordination|transport|standin|node)/[a-z]+\b|\binternal/[a-z]+\b`)

// TestPathsInTheDocsExist checks that packages and pages named in the docs exist.
func TestPathsInTheDocsExist(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^):#]+)\)`)
	for _, file := range pages(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range sourcePath.FindAllString(string(text), -1) {
			path = repository + "/internal/" + strings.TrimPrefix(path, "internal/")
			if _, err := os.Stat(path); err != nil {
				t.Errorf("%s names %s, which does not exist", file, path)
			}
		}
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(file), match[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", file, match[1])
			}
		}
	}
}

func pages(t *testing.T) []string {
	t.Helper()
	list := []string{repository + "/README.md"}
	err := filepath.WalkDir(repository+"/docs", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			list = append(list, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func checkCommandLine(t *testing.T, source, line string) {
	t.Helper()
	words := strings.Fields(line)
	if words[0] == "completion" || strings.HasPrefix(words[0], "-") {
		return
	}
	index := slices.IndexFunc(commands, func(c command) bool { return c.name == words[0] })
	if index < 0 {
		t.Errorf("%s: hickorydock %s: no such subcommand", source, line)
		return
	}
	flags := flaggy.NewSubcommand(words[0])
	commands[index].bind(flags)
	for _, word := range words[1:] {
		name, isFlag := strings.CutPrefix(word, "--")
		name, _, _ = strings.Cut(strings.TrimRight(name, "`.,"), "=")
		known := name == "help" || slices.ContainsFunc(flags.Flags, func(f *flaggy.Flag) bool { return f.LongName == name })
		if isFlag && !known {
			t.Errorf("%s: hickorydock %s: no flag --%s", source, line, name)
		}
	}
}
