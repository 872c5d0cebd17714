package caller_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"bergamotreel/caller"
	"bergamotreel/internal/testkit"
)

// Guards against answers in one piece that together take the VM's memory: each of many callers may have one that is held
// until it is read.
func TestWholeAnswersShareMemory(t *testing.T) {
	const chunk, heldBytes = 64 << 10, 1 << 20
	data := fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q}}]}`, strings.Repeat("a", chunk))
	var h *caller.Handler
	var inner int
	h = caller.New(&fakeBackend{generate: func(ctx context.Context, g caller.Generation, sink caller.Sink) error {
		err := chunks(nil, data, data, data, data, data)(ctx, g, sink)
		if inner == 0 && err == nil {
			inner = 1
			inner = serve(h, request("POST", chat, "key-rental", goodChat)).Code
		}
		return err
	}}, caller.Limits{HeldBytes: heldBytes})
	for range 2 { // the second round checks that the first released its bytes
		inner = 0
		outer := serve(h, request("POST", chat, "key-rental", goodChat)).Code
		testkit.That(t, outer == 200 && inner == 413, "first answer %d, second one beside it %d", outer, inner)
	}
}
