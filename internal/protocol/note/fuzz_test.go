package note

import (
	"os"
	"reflect"
	"testing"
)

// FuzzParse checks that any text is either rejected with faults that name the
// file, or parses to a valid note that survives formatting and parsing.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../../../examples/first.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(header + "[[withdrawn]]\nname = \"a\"\n"))
	f.Add([]byte(header + "base = 18446744073709551615\n[[changed]]\n" + service + "merge = \"top_k\"\nmerge_field = \"\\u0000\"\ntop_k = 1\n"))
	f.Add([]byte(header + "[[added]]\n" + service + "[[added.name]]\n[added.x]\ny.z = {}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, faults := Parse("f", text)
		if len(faults) > 0 {
			for _, fault := range faults {
				if fault.File != "f" || fault.Message == "" || fault.Line < 0 {
					t.Errorf("fault without a location or a message: %+v", fault)
				}
			}
			return
		}
		if errors := n.Validate(); len(errors) > 0 {
			t.Fatalf("parsed note is not valid: %v", errors)
		}
		formatted, err := n.Format()
		if err != nil {
			t.Fatal(err)
		}
		reparsed, faults := Parse("again", formatted)
		if len(faults) > 0 || !reflect.DeepEqual(reparsed, n) {
			t.Fatalf("formatted note parses as %+v, want %+v; faults %v\n%s", reparsed, n, faults, formatted)
		}
	})
}
