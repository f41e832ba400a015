package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// FuzzLoad checks that any text is either rejected with faults that name the
// file, or loads to settings that survive printing and loading.
func FuzzLoad(f *testing.F) {
	f.Add(minimalSettings)
	f.Add(minimalSettings + "bootstrap_peers = [\"10.0.0.1:7070\", \"[::1]:1\"]\n[trace]\nsample_share = 1e-3\n")
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
		var reloaded loader
		reloaded.settings, reloaded.lines = Default(), map[string]int{}
		if !reloaded.readText(printed.String()) || len(reloaded.faults) > 0 {
			t.Fatalf("printed settings are rejected: %v\n%s", reloaded.faults, printed.String())
		}
		if !reflect.DeepEqual(reloaded.settings, s) {
			t.Fatalf("got %+v, want %+v", reloaded.settings, s)
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
			t.Errorf("fault without a location or a message: %+v", fault)
		}
	}
}
