package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// FuzzLoad holds that any text is either refused with faults that name the
// file, or gives settings that print and load again as the same.
func FuzzLoad(f *testing.F) {
	f.Add(identity)
	f.Add(identity + "bootstrap_peers = [\"10.0.0.1:7070\", \"[::1]:1\"]\n[trace]\nsample_share = 1e-3\n")
	f.Add("node = {id = \"n\\u00e9\", availability_zone = '''e\n'''}\nlimits.max_items = 0x10\n")
	f.Add("[node]\n[node.id]\nx = 1\n[[limits]]\n[tls]\ncaller_key = 1979-05-27\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Load("f", text, noEnv)
		if err != nil {
			checkFaults(t, err)
			return
		}
		s.TLS.CallerKey, s.TLS.NodeKey = "", "" // keys are not printed
		var printed strings.Builder
		if err := s.Print(&printed); err != nil {
			t.Fatal(err)
		}
		var again loader
		again.settings, again.lines = Default(), map[string]int{}
		if !again.readText(printed.String()) || len(again.faults) > 0 {
			t.Fatalf("printed settings are refused: %v\n%s", again.faults, printed.String())
		}
		if !reflect.DeepEqual(again.settings, s) {
			t.Fatalf("got %+v, want %+v", again.settings, s)
		}
	})
}

func checkFaults(t *testing.T, err error) {
	t.Helper()
	var faults Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("got %v, want Faults", err)
	}
	for _, fault := range faults {
		if fault.File != "f" || fault.Message == "" || fault.Line < 0 {
			t.Errorf("fault without a place or a message: %+v", fault)
		}
	}
}
