package note

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

const service = `name = "a"
upstream_group = "a"
leaf_slots = 2
leaf_connections = 25
`

const header = "id = \"n1\"\nauthor = \"o\"\n"

func TestExampleParses(t *testing.T) {
	text, err := os.ReadFile("../../../examples/first.toml")
	if err != nil {
		t.Fatal(err)
	}
	n, faults := Parse("first.toml", text)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if n.Base != 0 || len(n.Added) != 2 || n.Added[0].TopK != 20 || n.Added[1].Policy != PolicyCoverage {
		t.Fatalf("parsed %+v", n)
	}
	formatted, err := n.Format()
	if err != nil {
		t.Fatal(err)
	}
	reparsed, faults := Parse("again", formatted)
	if len(faults) > 0 || !reflect.DeepEqual(reparsed, n) {
		t.Fatalf("formatted note parses as %+v, faults %v", reparsed, faults)
	}
}

func TestDefaults(t *testing.T) {
	text := header + "[[added]]\n" + service + "policy = \"coverage\"\n[[changed]]\n" +
		strings.Replace(service, `"a"`, `"b"`, 1) + "hedge_share = 0.0\nmin_coverage = 0.0\n"
	n, faults := Parse("f", []byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	added, changed := n.Added[0], n.Changed[0]
	if added.MinCoverage != 1 || added.HedgeShare != DefaultHedgeShare || added.LongestWaitMS != 5000 || added.Merge != MergeConcat {
		t.Errorf("added %+v", added)
	}
	if changed.MinCoverage != 0 || changed.HedgeShare != 0 || changed.LongestWaitMS != 1000 || changed.Policy != PolicyTail {
		t.Errorf("changed %+v", changed)
	}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string // "line field message-part"
	}{
		{"empty", "", []string{"0 id required", "0 author required", "0  lists no service"}},
		{"all at once, ordered by line", "id = 7\nauthor = \"\"\nbase = -1\ncolour = \"red\"\n[[added]]\nname = \"A b\"\nupstream_group = \"g\"\npolicy = \"fast\"\nmerge = \"top_k\"\nhedge_share = 0.6\nleaf_slots = 3\nleaf_connections = 2\nslots = 1\n", []string{
			"1 id does not fit", "2 author required", "3 base does not fit", "4 colour unknown key",
			"5 added[0].merge_field required", "5 added[0].top_k outside", "6 added[0].name lower-case", "8 added[0].policy neither",
			"10 added[0].hedge_share outside", "12 added[0].leaf_connections cannot fill", "13 added[0].slots unknown key",
		}},
		{"two entries for one service", header + "[[added]]\n" + service + "[[withdrawn]]\nname = \"a\"\n", []string{"9 withdrawn[0].name already has the entry added[0]"}},
		{"missing limits", header + "[[added]]\nname = \"a\"\n", []string{
			"3 added[0].upstream_group required", "3 added[0].leaf_slots outside", "3 added[0].leaf_connections outside",
		}},
		{"field without effect", header + "[[added]]\n" + service + "top_k = 3\nmerge_field = \"x\"\n", []string{
			"8 added[0].top_k no meaning", "9 added[0].merge_field no meaning",
		}},
		{"not a number", header + "[[added]]\n" + service + "min_coverage = nan\nhedge_share = inf\n", []string{
			"8 added[0].min_coverage outside", "9 added[0].hedge_share outside",
		}},
		{"tokens", header + "[[added]]\n" + service + "caller_token_sha256 = \"" + strings.Repeat("0", 64) + " secret\"\n[[changed]]\n" +
			strings.Replace(service, `"a"`, `"b"`, 1) + "caller_token_sha256 = \" \"\n", []string{
			"8 added[0].caller_token_sha256 hash 2 is not", "14 changed[0].caller_token_sha256 holds no hash",
		}},
		{"key given twice", header + "id = \"n2\"\n[[added]]\n" + service, []string{"1 id given again in line 3"}},
		{"single table", header + "[added]\n" + service, []string{"3 added[0] write [[added]]"}},
		{"inline entries", header + "added = [{name = \"a\"}]\n", []string{"0  lists no service", "3 added unknown key"}},
		{"unknown table", header + "[[removed]]\nname = \"a\"\n[[added]]\n" + service, []string{"3 removed unknown table"}},
		{"syntax error after another fault", "id = 7\nauthor = \"o\"\n[[added]]\n" + service + "top_k = = 3\n", []string{"1 id does not fit", "8  not TOML"}},
		{"too large", "#" + strings.Repeat("x", MaxNoteBytes), []string{"0  more than"}},
		{"control characters", "id = \"n1\"\nauthor = \"a\\nb\"\n[[added]]\n" + service, []string{"2 author control"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, faults := Parse("f.toml", []byte(c.text))
			if len(faults) != len(c.want) {
				t.Fatalf("%d faults, want %d:\n%v", len(faults), len(c.want), faults)
			}
			for i, f := range faults {
				want := strings.SplitN(c.want[i], " ", 3)
				if f.File != "f.toml" || fmt.Sprint(f.Line) != want[0] || f.Field != want[1] || !strings.Contains(f.Message, want[2]) {
					t.Errorf("fault %d: %s, want %s", i, f, c.want[i])
				}
			}
		})
	}
}

// TestDigest checks that the digest covers the content of a note, not its formatting.
func TestDigest(t *testing.T) {
	digestOf := func(text string) string {
		n, faults := Parse("f", []byte(text))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		digest, err := n.Digest()
		if err != nil {
			t.Fatal(err)
		}
		return digest
	}
	plain := digestOf(header + "[[added]]\n" + service)
	if digestOf(header+"# a comment\nbase = 0\n[[added]]\n"+service+"policy = \"tail\"\n") != plain {
		t.Error("a comment and an explicit default change the digest")
	}
	if digestOf(header+"base = 1\n[[added]]\n"+service) == plain {
		t.Error("another base has the same digest")
	}
}
