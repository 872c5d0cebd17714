package caller

import "testing"

func TestConnectionsFitTheOpenFiles(t *testing.T) {
	for files, want := range map[uint64]int{100: 1, 1024: 256, 20_000: 9744, 1 << 63: 1 << 30} {
		if got := servedWith(files); got != want {
			t.Errorf("%d files: %d connections, want %d", files, got, want)
		}
	}
}
