package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"bergamotreel/contract"
	"bergamotreel/internal/strictini"
	"bergamotreel/internal/verbs"
	"bergamotreel/operator"
	"bergamotreel/state"
)

// contractCommand implements the verb "contract" with its subcommands.
type contractCommand struct {
	connection *connection
	// file and customer are positional arguments.
	file     string
	customer string
	publish  publishFlags
	// answers is the input for the operator's answers to questions.
	answers     io.Reader
	subcommands []subcommand
}

// subcommand is one subcommand of a verb.
type subcommand struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, out io.Writer) error
}

// contractVerb checks, publishes and shows contracts.
func contractVerb() verbs.Verb {
	c := newContractCommand()
	return verbs.Verb{
		Name:   "contract",
		Help:   "check, publish and show contracts",
		Attach: c.attach,
		Run:    c.run,
	}
}

func newContractCommand() *contractCommand {
	return &contractCommand{connection: newConnection(), publish: defaultPublishFlags(), answers: os.Stdin}
}

func (c *contractCommand) attach(parent *flaggy.Subcommand) {
	check := c.addSubcommand(parent, "check", "read a contract's file and say what is wrong with it", c.runCheck)
	check.AddPositionalValue(&c.file, "FILE", 1, true, "the contract")

	publish := c.addSubcommand(parent, "publish", "put a contract's file in force", c.runPublish)
	publish.AddPositionalValue(&c.file, "FILE", 1, true, "the contract")
	c.publish.attach(publish)
	c.connection.attach(publish)

	remove := c.addSubcommand(parent, "remove", "end a customer's contract", c.runRemove)
	remove.AddPositionalValue(&c.customer, "CUSTOMER", 1, true, "whose contract")
	c.publish.attach(remove)
	c.connection.attach(remove)

	show := c.addSubcommand(parent, "show", "list all contracts, or print one customer's", c.runShow)
	show.AddPositionalValue(&c.customer, "CUSTOMER", 1, false, "whose contract")
	c.connection.attach(show)

	history := c.addSubcommand(parent, "history", "list the accepted versions of a customer's contract", c.runHistory)
	history.AddPositionalValue(&c.customer, "CUSTOMER", 1, true, "whose contract")
	c.connection.attach(history)
}

func (c *contractCommand) addSubcommand(parent *flaggy.Subcommand, name, help string, run func(context.Context, io.Writer) error) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = help
	parent.AttachSubcommand(sub, 1)
	c.subcommands = append(c.subcommands, subcommand{sub, run})
	return sub
}

func (c *contractCommand) run(ctx context.Context, out io.Writer) error {
	for _, subcommand := range c.subcommands {
		if subcommand.sub.Used {
			return subcommand.run(ctx, out)
		}
	}
	return verbs.UsageError("want check, publish, remove, show or history")
}

// readContract reads a contract's file and returns its sections and the parsed contract.
// Its error has a line "file: line N: [section] key: reason" for each mistake.
func readContract(path string) (map[string]string, *contract.Contract, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, verbs.UsageError("%w", err)
	}
	sections, err := contract.Split(string(text))
	if err != nil {
		return nil, nil, contractError(path, string(text), err)
	}
	parsed, err := contract.ParseSections(sections)
	if err != nil {
		return nil, nil, contractError(path, string(text), err)
	}
	return sections, parsed, nil
}

func contractError(path, text string, err error) error {
	if problems := strictini.NewFileProblems(path, text, contract.FindProblems(text)); len(problems) > 0 {
		return verbs.UsageError("%w", problems.Err())
	}
	return verbs.UsageError("%s: %w", path, err)
}

func (c *contractCommand) runCheck(_ context.Context, out io.Writer) error {
	_, parsed, err := readContract(c.file)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: contract of %s is fine: models %d, adapters %d, services %d, keys %d\n",
		c.file, parsed.Customer, len(parsed.Models), len(parsed.Adapters), len(parsed.Services), len(parsed.Keys))
	return nil
}

func (c *contractCommand) runShow(ctx context.Context, out io.Writer) error {
	op, err := c.connection.open()
	if err != nil {
		return err
	}
	if c.customer == "" {
		contracts, err := op.Contracts(ctx)
		if err != nil {
			return err
		}
		return printContracts(out, contracts)
	}
	inForce, err := op.Contract(ctx, c.customer)
	if err != nil {
		return err
	}
	if inForce.Removed {
		fmt.Fprintf(out, "; %s: contract removed with version %s, change %s\n", inForce.Customer, formatVersion(inForce.Version), inForce.ChangeID)
		return nil
	}
	fmt.Fprintf(out, "; %s: version %s, change %s\n\n", inForce.Customer, formatVersion(inForce.Version), inForce.ChangeID)
	fmt.Fprint(out, contract.Join(inForce.Sections))
	return nil
}

func printContracts(out io.Writer, contracts []operator.ContractSummary) error {
	table := newTable(out, "CUSTOMER", "VERSION", "MODELS", "ADAPTERS", "SERVICES", "CHANGE")
	for _, c := range contracts {
		change := c.ChangeID
		if c.Removed {
			change += " (removed)"
		}
		table.row(c.Customer, formatVersion(c.Version), c.Models, c.Adapters, c.Services, change)
	}
	return table.flush()
}

func (c *contractCommand) runHistory(ctx context.Context, out io.Writer) error {
	op, err := c.connection.open()
	if err != nil {
		return err
	}
	entries, err := op.History(ctx, c.customer)
	if err != nil {
		return err
	}
	table := newTable(out, "VERSION", "MADE ON", "TIME", "CHANGE", "SECTIONS")
	for _, e := range entries {
		sections := strings.Join(e.Sections, ", ")
		if e.Removed {
			sections = "(contract removed)"
		}
		table.row(formatVersion(e.Version), formatVersion(e.Base), e.Time.UTC().Format(time.RFC3339), e.ChangeID, sections)
	}
	return table.flush()
}

// formatVersion returns a version as text that people can compare: the log's offset and the
// index in the record, as in "17.0", or "none" for 0.
func formatVersion(version state.Revision) string {
	if version == 0 {
		return "none"
	}
	index := uint64(version) - uint64(state.MakeRevision(version.Offset(), 0))
	return fmt.Sprintf("%d.%d", version.Offset(), index)
}

// table prints aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(out io.Writer, columns ...string) table {
	t := table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.writer, strings.Join(columns, "\t"))
	return t
}

func (t table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.writer, "\t")
		}
		fmt.Fprint(t.writer, cell)
	}
	fmt.Fprintln(t.writer)
}

func (t table) flush() error { return t.writer.Flush() }
