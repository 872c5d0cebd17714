package main

import (
	"bufio"
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"bergamotreel/contract"
	"bergamotreel/internal/verbs"
	"bergamotreel/operator"
	"bergamotreel/state"
)

const (
	// defaultWait is twice the time within which a change must be in force on all VMs
	// (4 s), plus 2 s for opening an operator's connection.
	defaultWait = 10 * time.Second
	// publishTimeout bounds the retries of a publish whose answer was lost.
	publishTimeout = time.Minute
	// pollInterval is the interval of asking for the VMs' status: a few heartbeats.
	pollInterval = 500 * time.Millisecond
)

// publishFlags are the flags of "contract publish".
type publishFlags struct {
	yes    bool
	wait   time.Duration
	change string
}

func defaultPublishFlags() publishFlags {
	return publishFlags{wait: defaultWait}
}

func (f *publishFlags) attach(sub *flaggy.Subcommand) {
	sub.Bool(&f.yes, "y", "yes", "don't ask before publishing")
	sub.Duration(&f.wait, "w", "wait", "how long to wait until every entry VM has the change in force")
	sub.String(&f.change, "r", "change", "identity of an earlier publish whose outcome is unknown, to ask again")
}

// runPublish shows the difference, publishes it and waits until it is in force.
func (c *contractCommand) runPublish(ctx context.Context, out io.Writer) error {
	sections, parsed, err := readContract(c.file)
	if err != nil {
		return err
	}
	op, err := c.connection.open()
	if err != nil {
		return err
	}
	inForce, err := contractInForce(ctx, op, parsed.Customer)
	if err != nil {
		return err
	}
	changes := contract.Diff(inForce.Sections, sections)
	if len(changes) == 0 {
		fmt.Fprintf(out, "nothing to publish: version %s of %s says the same\n", formatVersion(inForce.Version), parsed.Customer)
		return waitInForce(ctx, out, op, inForce.Version, c.publish.wait)
	}
	comparison := "the first one"
	if inForce.Version != 0 {
		comparison = "against version " + formatVersion(inForce.Version)
	}
	fmt.Fprintf(out, "contract of %s, %s:\n", parsed.Customer, comparison)
	printChanges(out, changes)
	if !c.publish.yes && !c.confirm(out) {
		return errors.New("not published")
	}
	return c.publishAndWait(ctx, out, op, operator.PublishRequest{
		Customer: parsed.Customer,
		Base:     inForce.Version,
		Sections: contract.ChangedSections(inForce.Sections, sections),
	})
}

// runRemove ends a contract and waits until that is in force.
func (c *contractCommand) runRemove(ctx context.Context, out io.Writer) error {
	op, err := c.connection.open()
	if err != nil {
		return err
	}
	inForce, err := op.Contract(ctx, c.customer)
	if err != nil {
		return err
	}
	if inForce.Removed {
		fmt.Fprintf(out, "nothing to remove: version %s of %s did it\n", formatVersion(inForce.Version), c.customer)
		return waitInForce(ctx, out, op, inForce.Version, c.publish.wait)
	}
	fmt.Fprintf(out, "end the contract of %s, version %s: its keys, models and services go out of use\n", c.customer, formatVersion(inForce.Version))
	if !c.publish.yes && !c.confirm(out) {
		return errors.New("not published")
	}
	return c.publishAndWait(ctx, out, op, operator.PublishRequest{Customer: c.customer, Base: inForce.Version, Remove: true})
}

func (c *contractCommand) publishAndWait(ctx context.Context, out io.Writer, op operator.Operator, request operator.PublishRequest) error {
	version, err := c.send(ctx, out, op, request)
	if err != nil {
		return err
	}
	return waitInForce(ctx, out, op, version, c.publish.wait)
}

// contractInForce returns the customer's contract, or version 0 of one that
// doesn't exist yet.
func contractInForce(ctx context.Context, op operator.Operator, customer string) (operator.ContractInForce, error) {
	inForce, err := op.Contract(ctx, customer)
	if errors.Is(err, operator.ErrNotFound) {
		return operator.ContractInForce{Customer: customer}, nil
	}
	return inForce, err
}

func (c *contractCommand) confirm(out io.Writer) bool {
	fmt.Fprint(out, "publish? [y/N] ")
	line, _ := bufio.NewReader(c.answers).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

// send publishes a change and returns the version it created.
func (c *contractCommand) send(ctx context.Context, out io.Writer, op operator.Operator, request operator.PublishRequest) (state.Revision, error) {
	request.ChangeID = cmp.Or(c.publish.change, rand.Text())
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	result, err := operator.PublishUntilKnown(ctx, &retryNotifier{Operator: op, out: out}, request)
	switch {
	case errors.Is(err, operator.ErrOutcomeUnknown):
		return 0, fmt.Errorf("%w\nthe change may be in force; the same command with -change %s asks again", err, request.ChangeID)
	case err != nil:
		return 0, fmt.Errorf("not published: %w", err)
	case result.Verdict == state.VerdictConflict:
		return 0, fmt.Errorf("conflict: %s; version %s is no longer the newest. \"bergamotreel contract history %s\" says what changed; then publish again", result.Reason, formatVersion(request.Base), request.Customer)
	case result.Verdict != state.VerdictApplied:
		return 0, fmt.Errorf("refused (%s): %s", result.Verdict, result.Reason)
	}
	fmt.Fprintf(out, "published: version %s (log offset %d), change %s\n", formatVersion(result.Revision), result.Revision.Offset(), request.ChangeID)
	return result.Revision, nil
}

// retryNotifier tells the operator once why a publish takes long. While the log is down a
// publish is retried for a minute; an operator who sees no message would interrupt it and
// not know its outcome.
type retryNotifier struct {
	operator.Operator
	out      io.Writer
	notified bool
}

// Publish implements operator.Operator.
func (a *retryNotifier) Publish(ctx context.Context, request operator.PublishRequest) (operator.PublishResult, error) {
	result, err := a.Operator.Publish(ctx, request)
	retrying := errors.Is(err, operator.ErrUnavailable) || errors.Is(err, operator.ErrOutcomeUnknown)
	if retrying && !a.notified {
		a.notified = true
		fmt.Fprintf(a.out, "no result yet (%v); asking again for up to %s\n", err, publishTimeout)
	}
	return result, err
}

var changeMarks = map[contract.ChangeKind]string{
	contract.Added:   "+",
	contract.Removed: "-",
	contract.Changed: "~",
}

func printChanges(out io.Writer, changes []contract.Change) {
	for _, change := range changes {
		fmt.Fprintf(out, "%s [%s]\n", changeMarks[change.Kind], change.Section)
		for _, key := range change.Keys {
			printKeyChange(out, key)
		}
	}
}

func printKeyChange(out io.Writer, key contract.KeyChange) {
	switch key.Kind {
	case contract.Added:
		fmt.Fprintf(out, "    + %s = %s\n", key.Key, key.New)
	case contract.Removed:
		fmt.Fprintf(out, "    - %s = %s\n", key.Key, key.Old)
	case contract.Changed:
		fmt.Fprintf(out, "    ~ %s = %s (was %s)\n", key.Key, key.New, key.Old)
	}
}

// waitInForce polls the status until the version is in force on every entry VM. After wait
// it returns an error that names the VMs on which it isn't.
func waitInForce(ctx context.Context, out io.Writer, op operator.Operator, version state.Revision, wait time.Duration) error {
	deadline, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	behind := "unknown, as no entry VM answered"
	lastProgress := ""
	for {
		report, err := op.Status(deadline)
		if err == nil {
			names, total := vmsBehind(report, version)
			progress := fmt.Sprintf("in force on %d of %d entry VMs", total-len(names), total)
			if progress != lastProgress {
				fmt.Fprintln(out, progress)
				lastProgress = progress
			}
			if len(names) == 0 {
				return nil
			}
			behind = strings.Join(names, ", ")
		}
		select {
		case <-ctx.Done():
			return newNotEverywhereError("stopped waiting for version %s; not in force yet on: %s", formatVersion(version), behind)
		case <-deadline.Done():
			return newNotEverywhereError("version %s is not in force after %s on: %s", formatVersion(version), wait, behind)
		case <-time.After(pollInterval):
		}
	}
}

func newNotEverywhereError(format string, args ...any) error {
	return &verbs.ExitError{Code: exitNotEverywhere, Err: fmt.Errorf(format, args...)}
}

// vmsBehind describes the entry VMs on which the version isn't in force, and returns the
// number of all entry VMs. It ignores leaving VMs, as they accept no new requests.
func vmsBehind(report operator.StatusReport, version state.Revision) (behind []string, total int) {
	for _, vm := range report.VMs {
		if vm.Leaving {
			continue
		}
		total++
		if vm.Missing || !vm.HasApplied(version) {
			behind = append(behind, describeBehind(vm))
		}
	}
	return behind, total
}

func describeBehind(vm operator.EntryVM) string {
	if vm.Missing {
		return fmt.Sprintf("%s in %s (missing)", vm.ID, vm.Domain)
	}
	return fmt.Sprintf("%s in %s (at offset %d)", vm.ID, vm.Domain, vm.Applied)
}
