package note

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// Fault is one error in a note, with its file, line and field.
type Fault = settings.Fault

// Faults holds every fault of a note, ordered by line.
type Faults = settings.Faults

// Sections of a note.
const (
	SectionAdded     = "added"
	SectionChanged   = "changed"
	SectionWithdrawn = "withdrawn"
)

// Document is a note with the lines of its fields in the text.
type Document struct {
	Note  Note
	file  string
	lines map[string]int // by path of a field or an entry
}

// Parse reads a note in TOML. Unknown keys are rejected. It returns every fault
// that it finds; the note is usable only when there is none.
func Parse(file string, text []byte) (Note, Faults) {
	document, faults := ParseDocument(file, text)
	return document.Note, faults
}

// ParseDocument is Parse for callers that report further faults by line.
func ParseDocument(file string, text []byte) (Document, Faults) {
	p := &parser{document: Document{file: file, lines: map[string]int{}}}
	if len(text) > MaxNoteBytes {
		p.fail("", fmt.Sprintf("note has %d bytes, more than %d", len(text), MaxNoteBytes))
		return p.document, p.faults
	}
	p.target = &p.topLevel
	p.read(text)
	p.document.Note.ID = p.topLevel.ID
	p.document.Note.Author = p.topLevel.Author
	p.document.Note.Base = p.topLevel.Base
	p.applyDefaults()
	p.validate()
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Line - b.Line })
	return p.document, p.faults
}

// EntryPath returns the path of a field of an entry; an empty field means the entry.
func EntryPath(section string, index int, field string) string {
	path := fmt.Sprintf("%s[%d]", section, index)
	if field == "" {
		return path
	}
	return path + "." + field
}

// Fault returns a fault at the line of a field, or of the entry that contains it.
func (d Document) Fault(path, message string) Fault {
	line, found := d.lines[path]
	if !found {
		entry, _, _ := strings.Cut(path, ".")
		line = d.lines[entry]
	}
	return Fault{File: d.file, Line: line, Field: path, Message: message}
}

// has reports whether the text sets a field.
func (d Document) has(path string) bool {
	_, found := d.lines[path]
	return found
}

// topLevelKeys holds the keys outside of the sections.
type topLevelKeys struct {
	ID     string `toml:"id"`
	Author string `toml:"author"`
	Base   uint64 `toml:"base"`
}

type parser struct {
	toml     unstable.Parser
	document Document
	topLevel topLevelKeys
	faults   Faults
	// target receives the keys of the current table; they are skipped when it is nil.
	target any
	prefix string
}

func (p *parser) fail(path, message string) {
	p.faults = append(p.faults, p.document.Fault(path, message))
}

func (p *parser) read(text []byte) {
	p.toml.Reset(text)
	for p.toml.NextExpression() {
		node := p.toml.Expression()
		if node.Kind == unstable.KeyValue {
			p.readKey(node)
		} else {
			p.openTable(node)
		}
	}
	p.failSyntax(text)
}

func (p *parser) failSyntax(text []byte) {
	err := p.toml.Error()
	if err == nil {
		return
	}
	fault := Fault{File: p.document.file, Message: "not TOML: " + err.Error()}
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		offset := p.toml.Range(syntax.Highlight).Offset
		fault.Line = 1 + bytes.Count(text[:offset], []byte{'\n'})
	}
	p.faults = append(p.faults, fault)
}

// keyOf returns a node's key in dotted form and its line.
func (p *parser) keyOf(node *unstable.Node) (key string, line int) {
	var parts []string
	for it := node.Key(); it.Next(); {
		if parts == nil {
			line = p.toml.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}

// openTable starts an entry of a section.
func (p *parser) openTable(node *unstable.Node) {
	section, line := p.keyOf(node)
	p.target = nil
	n := &p.document.Note
	index := 0
	switch section {
	case SectionAdded:
		index = len(n.Added)
		n.Added = append(n.Added, Service{})
		p.target = &n.Added[index]
	case SectionChanged:
		index = len(n.Changed)
		n.Changed = append(n.Changed, Service{})
		p.target = &n.Changed[index]
	case SectionWithdrawn:
		index = len(n.Withdrawn)
		n.Withdrawn = append(n.Withdrawn, Withdrawal{})
		p.target = &n.Withdrawn[index]
	default:
		p.document.lines[section] = line
		p.fail(section, "unknown table")
		return
	}
	entry := EntryPath(section, index, "")
	p.document.lines[entry] = line
	p.prefix = entry + "."
	if node.Kind != unstable.ArrayTable {
		p.fail(entry, fmt.Sprintf("write [[%s]]", section))
	}
}

// readKey decodes one key into the current target.
func (p *parser) readKey(node *unstable.Node) {
	if p.target == nil {
		return
	}
	key, line := p.keyOf(node)
	path := p.prefix + key
	if p.document.has(path) {
		p.fail(path, fmt.Sprintf("given again in line %d", line))
		return
	}
	p.document.lines[path] = line
	decoder := toml.NewDecoder(bytes.NewReader(p.toml.Raw(node.Raw))).DisallowUnknownFields()
	err := decoder.Decode(p.target)
	var unknown *toml.StrictMissingError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		p.fail(path, "unknown key")
	default:
		p.fail(path, "does not fit: "+strings.TrimPrefix(err.Error(), "toml: "))
	}
}

// applyDefaults fills the fields that the text leaves out.
func (p *parser) applyDefaults() {
	n := &p.document.Note
	for i := range n.Added {
		n.Added[i] = p.withDefaults(SectionAdded, i, n.Added[i])
	}
	for i := range n.Changed {
		n.Changed[i] = p.withDefaults(SectionChanged, i, n.Changed[i])
	}
}

func (p *parser) withDefaults(section string, index int, s Service) Service {
	s = s.Normalize()
	if !p.document.has(EntryPath(section, index, "hedge_share")) {
		s.HedgeShare = DefaultHedgeShare
	}
	if !p.document.has(EntryPath(section, index, "min_coverage")) {
		s.MinCoverage = DefaultMinCoverageTail
		if s.Policy == PolicyCoverage {
			s.MinCoverage = 1
		}
	}
	return s
}

// validate adds the faults of Note.Validate, except for fields that already
// have one.
func (p *parser) validate() {
	for _, invalid := range p.document.Note.Validate() {
		reported := slices.ContainsFunc(p.faults, func(f Fault) bool { return f.Field == invalid.Field })
		if !reported {
			p.fail(invalid.Field, invalid.Message)
		}
	}
}
