package routing_test

import (
	"fmt"
	"math/rand"
	"time"

	"bergamotreel/routing"
)

// The engine that has the prompt's prefix cached gets the request, unless it has
// failed it before.
func ExampleRouter_Pick() {
	now := time.Unix(1_800_000_000, 0)
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	prompt := routing.HashPrefixes("clerk-7b", make([]byte, 8*routing.PrefixBlockSize))
	r.ApplyCacheEvent("10.0.1.2:7201", "clerk-7b", prompt[len(prompt)-1], false)

	query := routing.Query{Unit: "clerk-7b", Pool: "clerk-7b", Domain: "a", Prefixes: prompt, Exclude: map[string]bool{}}
	candidates := []routing.Candidate{
		{Engine: "10.0.1.1:7201", Domain: "a", Slots: 16, Ready: true},
		{Engine: "10.0.1.2:7201", Domain: "a", Slots: 16, Ready: true},
		{Engine: "10.0.1.3:7201", Domain: "a", Slots: 16, Ready: true, Leaving: true},
	}
	choice, _ := r.Pick(now, query, candidates)
	fmt.Println(choice.Engine)
	query.Exclude[choice.Engine] = true
	choice, _ = r.Pick(now, query, candidates)
	fmt.Println(choice.Engine)
	// Output:
	// 10.0.1.2:7201
	// 10.0.1.1:7201
}
