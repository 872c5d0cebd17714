package serving

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"bergamotreel/admission"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// fixed is a Directory that says the same always, and a Sink that drops all.
type fixed []routing.Candidate

func (f fixed) Candidates(string) []routing.Candidate { return f }
func (f fixed) Servers(string) []routing.Candidate    { return f }
func (fixed) Missing([]admission.Demand)              {}
func (fixed) Interest(string)                         {}
func (fixed) Hopeless(string) *refusal.Refusal        { return nil }
func (fixed) Chunk(engine.Chunk) error                { return nil }

// An end that no stand-in makes: a resume that meets a closed port at the moment
// that the wait ends, and an engine moved to that ends before what was delivered.
// Neither is "not sent", nor a whole answer.
func TestEndsOfBrokenStreams(t *testing.T) {
	if v := judge(broken(engine.ErrNotSent)); !v.ran || v.result.NotRun {
		t.Errorf("a resume that was not sent: %+v", v)
	}
	if v := judge((&relay{delivered: 5}).whole(3)); v.final == nil || v.final.Ran != refusal.RanMaybe {
		t.Errorf("a shorter answer: %+v", v)
	}
}

// BenchmarkDeliver is the cost of one chunk on its way through serving.
func BenchmarkDeliver(b *testing.B) {
	chunk := engine.Chunk{Data: []byte(`{"id":"0123456789abcdef","object":"chat.completion.chunk","model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"lantern "},"finish_reason":null}]}`)}
	r := &relay{place: &place{firstToken: 1}, sink: fixed{}}
	for b.Loop() {
		chunk.Position++
		r.sums = r.sums[:0] // an answer's hashes, not a benchmark's
		if err := r.deliver(chunk); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDispatch is one request's arrival, dispatch, first token and end.
func BenchmarkDispatch(b *testing.B) {
	for _, candidates := range []int{24, 500} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			var directory fixed
			for i := range candidates {
				directory = append(directory, routing.Candidate{
					Engine: fmt.Sprint(i), Domain: string(rune('a' + i%3)), Slots: 16, Ready: true,
				})
			}
			controller := admission.New(admission.Config{})
			controller.SetContracts(map[string]*contract.Contract{"c": {RequestsPerSecond: 1e9, Burst: 1e9}})
			router := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
			s := New(Config{Domain: "a", Directory: directory, Admission: controller, Router: router})
			request := admission.Request{Customer: "c", Unit: "m", Pool: "m", Deadline: time.Now().Add(time.Hour)}
			for b.Loop() {
				p, w, refused := s.arrive(request, routing.Query{Unit: "m", Pool: "m", Domain: "a"}, s.find("m"))
				if refused != nil {
					b.Fatal(refused)
				}
				s.dispatch(time.Now())
				if err := p.wait(b.Context(), w); err != nil {
					b.Fatal(err)
				}
				p.answer()
				p.end(b.Context(), nil, judge(nil))
			}
		})
	}
}
