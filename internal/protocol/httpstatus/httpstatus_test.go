package httpstatus

import "testing"

func TestStatuses(t *testing.T) {
	tests := map[int]struct{ interim, final bool }{
		0: {}, 1: {}, 99: {}, 100: {interim: true}, 101: {}, 103: {interim: true}, 199: {interim: true},
		200: {final: true}, 204: {final: true}, 503: {final: true}, 599: {final: true}, 600: {}, 999: {},
	}
	for status, want := range tests {
		if IsInterim(status) != want.interim || IsFinal(status) != want.final {
			t.Errorf("%d: interim %t, final %t", status, IsInterim(status), IsFinal(status))
		}
	}
}
