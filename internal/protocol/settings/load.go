package settings

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one error in the settings.
type Fault struct {
	// File is the name passed to Load, or "environment".
	File string
	// Line counts from 1; 0 when the fault has no line, such as a missing field.
	Line int
	// Field is the path of the setting, or the name of the variable.
	Field   string
	Message string
}

// String formats the fault as "file:line: field: message".
func (f Fault) String() string {
	location := f.File
	if f.Line > 0 {
		location += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return location + ": " + f.Message
	}
	return location + ": " + f.Field + ": " + f.Message
}

// Faults is the error of Load: every fault found, ordered by line.
type Faults []Fault

// Error joins the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

const environmentName = "environment"

// loader collects the faults of one Load.
type loader struct {
	file     string
	settings Settings
	lines    map[string]int    // by path of a key or table
	envVars  map[string]string // by path of a key set from the environment
	faults   Faults
}

// Load reads settings from the TOML text of a file over the defaults, then
// from the environment, and checks all of them. The error is of type Faults
// and holds every fault; the settings are not usable then.
func Load(file, text string, env func(string) (string, bool)) (Settings, error) {
	l := &loader{file: file, settings: Default(), lines: map[string]int{}, envVars: map[string]string{}}
	if !l.readText(text) {
		return Settings{}, l.faults
	}
	l.readEnvironment(env)
	for _, f := range fields {
		if !l.hasFault(f.Path) {
			l.checkField(f)
		}
	}
	l.checkTLS()
	if len(l.faults) > 0 {
		slices.SortStableFunc(l.faults, func(a, b Fault) int { return a.Line - b.Line })
		return Settings{}, l.faults
	}
	return l.settings, nil
}

func (l *loader) fail(path, format string, args ...any) {
	fault := Fault{File: l.file, Line: l.lineOf(path), Field: path, Message: fmt.Sprintf(format, args...)}
	if variable := l.envVars[path]; variable != "" {
		fault.File, fault.Line, fault.Field = environmentName, 0, variable
	}
	l.faults = append(l.faults, fault)
}

// hasFault reports whether a field already has a fault.
func (l *loader) hasFault(path string) bool {
	return slices.ContainsFunc(l.faults, func(f Fault) bool { return f.Field == path })
}

// lineOf returns the line of a key, or of the innermost table that contains it.
func (l *loader) lineOf(path string) int {
	for path != "" {
		if line, ok := l.lines[path]; ok {
			return line
		}
		dot := strings.LastIndexByte(path, '.')
		path = path[:max(dot, 0)]
	}
	return 0
}

// readText returns false when the text is not TOML; its fields cannot be checked
// then.
func (l *loader) readText(text string) bool {
	var document map[string]any
	if err := toml.Unmarshal([]byte(text), &document); err != nil {
		l.failSyntax(err)
		return false
	}
	l.indexLines([]byte(text))
	for _, section := range slices.Sorted(maps.Keys(document)) {
		table, ok := document[section].(map[string]any)
		if !ok {
			l.fail(section, "is not a table of the settings")
			continue
		}
		l.readTable(section, table)
	}
	return true
}

func (l *loader) failSyntax(err error) {
	fault := Fault{File: l.file, Message: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		fault.Line, _ = decode.Position()
		fault.Field = strings.Join(decode.Key(), ".")
	}
	l.faults = append(l.faults, fault)
}

// indexLines records the line of every key and table.
func (l *loader) indexLines(text []byte) {
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := keyOf(&parser, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path
		default:
			if table != "" {
				path = table + "." + path
			}
		}
		if _, seen := l.lines[path]; !seen {
			l.lines[path] = line
		}
	}
}

func keyOf(parser *unstable.Parser, node *unstable.Node) (path string, line int) {
	var parts []string
	for it := node.Key(); it.Next(); {
		key := it.Node()
		parts = append(parts, string(key.Data))
		line = parser.Shape(key.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}

func (l *loader) readTable(section string, table map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(table)) {
		path := section + "." + key
		index := slices.IndexFunc(fields, func(f field) bool { return f.Path == path })
		if index < 0 {
			l.fail(path, "unknown field")
			continue
		}
		if !assign(fields[index].value(&l.settings), table[key]) {
			l.fail(path, "is not of type %s", fields[index].Type)
		}
	}
}

// assign stores a decoded TOML value; it returns false when the types differ.
func assign(target reflect.Value, value any) bool {
	switch v := value.(type) {
	case string, int64:
		source := reflect.ValueOf(v)
		if target.Kind() == reflect.Float64 && source.CanInt() {
			target.SetFloat(float64(source.Int()))
			return true
		}
		if target.Kind() != source.Kind() {
			return false
		}
		target.Set(source)
		return true
	case float64:
		if target.Kind() != reflect.Float64 {
			return false
		}
		target.SetFloat(v)
		return true
	case []any:
		return assignList(target, v)
	default:
		return false
	}
}

func assignList(target reflect.Value, values []any) bool {
	if target.Kind() != reflect.Slice {
		return false
	}
	list := make([]string, 0, len(values))
	for _, value := range values {
		text, ok := value.(string)
		if !ok {
			return false
		}
		list = append(list, text)
	}
	target.Set(reflect.ValueOf(list))
	return true
}

func (l *loader) readEnvironment(env func(string) (string, bool)) {
	for _, f := range fields {
		if f.Env == "" {
			continue
		}
		text, ok := env(f.Env)
		if !ok {
			continue
		}
		l.envVars[f.Path] = f.Env
		if !assignText(f.value(&l.settings), text) {
			l.fail(f.Path, "is not of type %s", f.Type)
		}
	}
}

// assignText stores the value of a variable; it returns false when the text has another type.
// Empty text leaves a number as it is.
func assignText(target reflect.Value, text string) bool {
	switch target.Kind() {
	case reflect.Slice:
		target.Set(reflect.ValueOf(splitList(text)))
	case reflect.Float64:
		if text == "" {
			return true
		}
		n, err := strconv.ParseFloat(text, 64)
		target.SetFloat(n)
		return err == nil
	case reflect.Int64:
		if text == "" {
			return true
		}
		n, err := strconv.ParseInt(text, 10, 64)
		target.SetInt(n)
		return err == nil
	default:
		target.SetString(text)
	}
	return true
}

func splitList(text string) []string {
	list := []string{}
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// redacted replaces the value of a secret that is set.
const redacted = `"(set, not shown)"`

// Print writes the settings in TOML form, with secrets redacted.
func (s Settings) Print(w io.Writer) error {
	section := ""
	var out strings.Builder
	for _, f := range fields {
		table, key, _ := strings.Cut(f.Path, ".")
		if table != section {
			section = table
			fmt.Fprintf(&out, "[%s]\n", table)
		}
		value := formatValue(f.value(&s))
		if f.Secret && value != `""` {
			value = redacted
		}
		fmt.Fprintf(&out, "%s = %s\n", key, value)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
