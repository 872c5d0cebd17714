package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sebdah/goldie/v2"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/internal/verbs"
	"bergamotreel/operator"
	"bergamotreel/state"
)

// fakeOperator answers from its fields. It calls status with the number of the call.
type fakeOperator struct {
	inForce     map[string]operator.ContractInForce
	publish     func(operator.PublishRequest) (operator.PublishResult, error)
	status      func(call int) (operator.StatusReport, error)
	published   []operator.PublishRequest
	statusCalls int
}

func (f *fakeOperator) Publish(_ context.Context, r operator.PublishRequest) (operator.PublishResult, error) {
	f.published = append(f.published, r)
	return f.publish(r)
}

func (f *fakeOperator) Contracts(context.Context) ([]operator.ContractSummary, error) {
	return sampleReport().Contracts, nil
}

func (f *fakeOperator) Contract(_ context.Context, customer string) (operator.ContractInForce, error) {
	if c, ok := f.inForce[customer]; ok {
		return c, nil
	}
	return operator.ContractInForce{}, fmt.Errorf("%w: no contract of %s", operator.ErrNotFound, customer)
}

func (f *fakeOperator) History(context.Context, string) ([]operator.HistoryEntry, error) {
	at := time.Date(2026, 2, 13, 4, 30, 0, 0, time.UTC)
	return []operator.HistoryEntry{
		{Version: version(17), Base: version(9), ChangeID: "REMOVE", Time: at.Add(time.Hour), Removed: true},
		{Version: version(9), Base: version(3), ChangeID: "CARNIVAL", Time: at, Sections: []string{"customer", `model "clerk-7b"`}},
	}, nil
}

func (f *fakeOperator) Status(context.Context) (operator.StatusReport, error) {
	f.statusCalls++
	if f.status == nil {
		return sampleReport(), nil
	}
	return f.status(f.statusCalls)
}

func version(offset uint64) state.Revision { return state.MakeRevision(offset, 0) }

// statusAtOffsets returns a report with the VMs entry-a, entry-b and so on at the given
// offsets.
func statusAtOffsets(offsets ...uint64) (operator.StatusReport, error) {
	var report operator.StatusReport
	for i, offset := range offsets {
		vm := operator.EntryVM{ID: "entry-" + string(rune('a'+i)), Domain: "d1", Applied: offset}
		report.VMs = append(report.VMs, vm)
	}
	return report, nil
}

// sampleContract returns the path of a sample contract and its sections.
func sampleContract(t *testing.T) (string, map[string]string) {
	t.Helper()
	path := "../../docs/examples/trinidad.ini"
	sections, _, err := readContract(path)
	testkit.OK(t, err)
	return path, sections
}

// runContract runs "contract ARGS" against op and returns what it printed, with
// its error and exit code at the end.
func runContract(op operator.Operator, answers string, args ...string) string {
	c := newContractCommand()
	c.connection.open = func() (operator.Operator, error) { return op, nil }
	c.answers = strings.NewReader(answers)
	return runVerb(verbs.Verb{Name: "contract", Attach: c.attach, Run: c.run}, args)
}

func runVerb(v verbs.Verb, args []string) string {
	parser := flaggy.NewParser("bergamotreel")
	sub := flaggy.NewSubcommand(v.Name)
	v.Attach(sub)
	parser.AttachSubcommand(sub, 1)
	if err := parser.ParseArgs(append([]string{v.Name}, args...)); err != nil {
		return err.Error()
	}
	var out bytes.Buffer
	err := v.Run(context.Background(), &out)
	if err != nil {
		fmt.Fprintf(&out, "error: %v\n", err)
	}
	fmt.Fprintf(&out, "exit code %d\n", exitCode(err))
	return out.String()
}

func applied(operator.PublishRequest) (operator.PublishResult, error) {
	return operator.PublishResult{Verdict: state.VerdictApplied, Revision: version(17)}, nil
}

func refuse(verdict state.Verdict, reason string) func(operator.PublishRequest) (operator.PublishResult, error) {
	return func(operator.PublishRequest) (operator.PublishResult, error) {
		return operator.PublishResult{Verdict: verdict, Reason: reason}, nil
	}
}

func TestContractPublish(t *testing.T) {
	path, sections := sampleContract(t)
	old := map[string]string{}
	for name, text := range sections {
		old[name] = strings.Replace(text, "max_replicas = 4", "max_replicas = 2", 1)
	}
	old[`model "carnival-7b"`] = "checkpoint = carnival-7b:v1\nmemory = 16GB\n"
	delete(old, `adapter "shop-47"`)
	withOld := map[string]operator.ContractInForce{"trinidad": {Customer: "trinidad", Version: version(9), Sections: old}}
	unknown := func(operator.PublishRequest) (operator.PublishResult, error) {
		return operator.PublishResult{}, operator.ErrOutcomeUnknown
	}
	same := map[string]operator.ContractInForce{"trinidad": {Customer: "trinidad", Version: version(9), Sections: sections}}
	cases := []struct {
		name    string
		op      fakeOperator
		answers string
		args    []string
	}{
		{"changed", fakeOperator{inForce: withOld, publish: applied}, "y\n", nil},
		{"new", fakeOperator{publish: applied}, "", []string{"-yes"}},
		{"same", fakeOperator{inForce: same}, "", nil},
		{"declined", fakeOperator{inForce: withOld}, "no\n", nil},
		{"unanswered", fakeOperator{inForce: withOld}, "", nil},
		{"conflict", fakeOperator{inForce: withOld, publish: refuse(state.VerdictConflict, "made on an older version")}, "yes\n", nil},
		{"invalid", fakeOperator{inForce: withOld, publish: refuse(state.VerdictInvalid, "key in use by another customer")}, "yes\n", nil},
		{"unknown", fakeOperator{inForce: withOld, publish: unknown}, "", []string{"-yes", "-change", "CARNIVAL"}},
		{"behind", fakeOperator{inForce: withOld, publish: applied, status: oneBehind}, "", []string{"-yes", "-wait", "3s"}},
		{"blind", fakeOperator{inForce: withOld, publish: applied, status: noStatus}, "", []string{"-yes", "-wait", "3s"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				op := &test.op
				if op.status == nil {
					op.status = func(call int) (operator.StatusReport, error) { return statusAtOffsets(17, 17, uint64(15+call)) }
				}
				printed := runContract(op, test.answers, append([]string{"publish", path}, test.args...)...)
				printed = maskChangeID(op, printed)
				goldie.New(t).Assert(t, "publish_"+test.name, []byte(printed))
			})
		})
	}
}

func oneBehind(int) (operator.StatusReport, error) {
	report, err := statusAtOffsets(17, 16, 17, 0)
	report.VMs[2].Missing = true
	report.VMs[3].Leaving = true
	return report, err
}

func noStatus(int) (operator.StatusReport, error) {
	return operator.StatusReport{}, operator.ErrUnavailable
}

// maskChangeID replaces the random change IDs, which golden files can't contain.
func maskChangeID(op *fakeOperator, printed string) string {
	for _, r := range op.published {
		printed = strings.ReplaceAll(printed, r.ChangeID, "CHANGE")
	}
	return printed
}

func TestPublishSendsOnlyChangedSections(t *testing.T) {
	path, sections := sampleContract(t)
	old := map[string]string{"customer": sections["customer"], `model "gone"`: "checkpoint = g:1\nmemory = 1GB\n"}
	op := &fakeOperator{publish: applied, inForce: map[string]operator.ContractInForce{
		"trinidad": {Customer: "trinidad", Version: version(9), Sections: old},
	}}
	op.status = func(int) (operator.StatusReport, error) { return statusAtOffsets(17) }
	runContract(op, "", "publish", path, "-yes")
	testkit.Need(t, len(op.published) == 1, "%d publishes", len(op.published))
	r := op.published[0]
	_, whole := r.Sections["customer"]
	testkit.That(t, !whole && r.Base == version(9) && r.ChangeID != "", "%+v", r)
	text, ok := r.Sections[`model "gone"`]
	testkit.That(t, ok && text == "", "removed section: %q, %t", text, ok)
	testkit.That(t, len(r.Sections) == len(sections), "%d sections, want %d", len(r.Sections), len(sections))
}

func TestContractRemove(t *testing.T) {
	_, sections := sampleContract(t)
	op := &fakeOperator{publish: applied, inForce: map[string]operator.ContractInForce{
		"trinidad": {Customer: "trinidad", Version: version(9), Sections: sections},
		"old":      {Customer: "old", Version: version(7), Removed: true},
	}}
	op.status = func(int) (operator.StatusReport, error) { return statusAtOffsets(17) }
	printed := runContract(op, "y\n", "remove", "trinidad") + runContract(op, "", "remove", "old") + runContract(op, "", "remove", "nobody")
	testkit.That(t, len(op.published) == 1 && op.published[0].Remove && op.published[0].Base == version(9), "%+v", op.published)
	goldie.New(t).Assert(t, "remove", []byte(maskChangeID(op, printed)))
}

func TestContractCheck(t *testing.T) {
	path, _ := sampleContract(t)
	bad := filepath.Join(t.TempDir(), "bad.ini")
	testkit.OK(t, os.WriteFile(bad, []byte("[customer]\nname = trinidad\nmemory = 1\n"), 0o600))
	printed := runContract(nil, "", "check", path) + runContract(nil, "", "check", bad) + runContract(nil, "", "check", "nowhere.ini") + runContract(nil, "")
	for _, text := range []string{
		"[customer]\nname = a b\nmemory = 1\nmemroy = 9GB\n\n[model \"m\"]\nmemory = 1GB\n[modle \"n\"]\n[model \"m\"]\n",
		"[customer]\nname = c\nmemory = 9GB\n" + strings.Repeat("what = 1\n", 2) + strings.Repeat("[x]\n", 3) +
			"[key \"1\"]\n[key \"2\"]\n[key \"3\"]\n[key \"4\"]\n[key \"5\"]\n[key \"6\"]\n" + strings.Repeat("[adapter \"a\"]\n", 2) + "[model \"a b\"]\n[model]\n" +
			"[model \"1\"]\n[model \"2\"]\n[model \"3\"]\n",
		"[customer]\nname = c\nmemory = 9GB\n[adapter \"a\"]\nbase = m\ncheckpoint = a\nmemory = 1GB\n" +
			"[model \"n\"]\ncheckpoint = n\nmemory = 10GB\nmin_replicas = 9\n",
	} {
		if err := os.WriteFile(bad, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		printed += runContract(nil, "", "check", bad)
	}
	goldie.New(t).Assert(t, "check", []byte(strings.ReplaceAll(printed, bad, "bad.ini")))
}

func TestContractShow(t *testing.T) {
	_, sections := sampleContract(t)
	op := &fakeOperator{inForce: map[string]operator.ContractInForce{
		"trinidad": {Customer: "trinidad", Version: version(9), ChangeID: "CARNIVAL", Sections: sections},
		"old":      {Customer: "old", Version: version(7), ChangeID: "REMOVE", Removed: true},
	}}
	for name, args := range map[string][]string{
		"list": {"show"}, "one": {"show", "trinidad"}, "removed": {"show", "old"}, "nobody": {"show", "nobody"},
	} {
		goldie.New(t).Assert(t, "show_"+name, []byte(runContract(op, "", args...)))
	}
	goldie.New(t).Assert(t, "history", []byte(runContract(op, "", "history", "trinidad")))
}

// The output of show can be published again unchanged.
func TestShownContractParses(t *testing.T) {
	_, sections := sampleContract(t)
	op := &fakeOperator{inForce: map[string]operator.ContractInForce{"trinidad": {Customer: "trinidad", Version: version(9), Sections: sections}}}
	shown := strings.TrimSuffix(runContract(op, "", "show", "trinidad"), "exit code 0\n")
	again, err := contract.Split(shown)
	testkit.That(t, err == nil && len(contract.Diff(sections, again)) == 0, "%v, %+v", err, contract.Diff(sections, again))
}

func TestVersion(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1.26.0", Main: debug.Module{Version: "v1.2.3"}, Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "0123abc"}, {Key: "vcs.modified", Value: "true"},
	}}
	testkit.Equal(t, "the build", describeBuild(info), "bergamotreel v1.2.3, commit 0123abc (changed), go1.26.0")
}

func TestConnectionFlags(t *testing.T) {
	for _, test := range []struct {
		c    connection
		want string
	}{
		{connection{url: "entry-1:8081", token: "t"}, `-operators "entry-1:8081": want http://IP:port or https://IP:port`},
		{connection{url: defaultOperatorsURL}, "-token-file is missing"},
		{connection{url: defaultOperatorsURL, token: "t", tokenFile: "f"}, "give -token or -token-file, not both"},
		{connection{url: defaultOperatorsURL, tokenFile: "/nowhere"}, "-token-file: open /nowhere: no such file or directory"},
		{connection{url: defaultOperatorsURL, token: "t", caFile: "contract.go"}, "-ca: contract.go holds no certificate"},
	} {
		_, err := test.c.client()
		var exit *verbs.ExitError
		testkit.That(t, errors.As(err, &exit) && exit.Code == verbs.ExitUsage && err.Error() == test.want,
			"got %v, want %s", err, test.want)
	}
}
