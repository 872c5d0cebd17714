package serving

import (
	"bytes"
	"context"
	"time"
)

// choicesKey begins the part of a chunk that holds the answer's text.
var choicesKey = []byte(`"choices"`)

func content(data []byte) []byte {
	if i := bytes.Index(data, choicesKey); i >= 0 {
		return data[i:]
	}
	return data
}

// sleep waits for d or the end of ctx; it tells whether the time passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
