package state_test

import (
	"fmt"

	"bergamotreel/state"
)

// Two operators change one contract based on the same version. Every VM that applies
// the records accepts the same one.
func ExampleState_Apply() {
	s := state.New()
	publish := func(offset uint64, operator string, base state.Revision, wait string) state.Revision {
		data, err := state.Encode(state.Record{Proposals: []state.Proposal{{
			ID: state.ProposalID{Proposer: operator, Sequence: 1},
			Publish: &state.Publish{ChangeID: operator, Customer: "trinidad", Base: base, Sections: map[string]string{
				"customer":         "name = trinidad\nmemory = 80GB\n",
				`model "clerk-7b"`: "checkpoint = clerk-7b:v3\nmemory = 16GB\nmax_wait = " + wait + "\n",
			}},
		}}})
		if err != nil {
			fmt.Println(err)
			return 0
		}
		outcome := s.Apply(offset, data)[0]
		fmt.Println(operator, outcome.Verdict)
		return outcome.Revision
	}
	base := publish(1, "first", 0, "8s")
	publish(2, "asha", base, "9s")
	publish(3, "bikram", base, "4s")
	fmt.Println(s.Contracts["trinidad"].Contract.Models[0].MaxWait)
	// Output:
	// first applied
	// asha applied
	// bikram conflict
	// 9s
}
