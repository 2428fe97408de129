package doccmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/jujubehaven/jujubehaven/coordination/changes"
	"github.com/jujubehaven/jujubehaven/coordination/store"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/urfave/cli/v3"
)

// checkAction validates each file by itself and all files against each other.
func checkAction(_ context.Context, c *cli.Command) error {
	files := c.Args().Slice()
	if len(files) == 0 {
		return inputError("check: expects at least one FILE")
	}
	var docs []document.Document
	var failures []error
	for _, file := range files {
		doc, _, err := parseFile(file)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		docs = append(docs, doc)
	}
	failures = append(failures, checkDocuments(docs)...)
	if len(failures) > 0 {
		return &exitError{ExitInput, joinLines(failures)}
	}
	_, err := fmt.Fprintf(stdout(c), "documents=%d result=valid\n", len(docs))
	return err
}

// checkDocuments validates documents against each other. The zones that services
// use are checked only if one document is the zones document.
func checkDocuments(docs []document.Document) []error {
	var services []document.Service
	var zones *document.Zones
	var failures []error
	seen := map[document.Key]bool{}
	for _, doc := range docs {
		if seen[doc.Key()] {
			failures = append(failures, fmt.Errorf("%s: two files have this document", doc.Key()))
			continue
		}
		seen[doc.Key()] = true
		if doc.Service != nil {
			services = append(services, *doc.Service)
		} else {
			zones = doc.Zones
		}
	}
	conflicts := document.CheckServices(services)
	if zones != nil {
		conflicts = document.CheckSet(services, *zones)
	}
	for _, conflict := range conflicts {
		failures = append(failures, conflict)
	}
	return failures
}

// joinLines returns an error whose message has one line for each error.
func joinLines(errs []error) error {
	lines := make([]string, len(errs))
	for i, err := range errs {
		lines[i] = err.Error()
	}
	return errors.New(strings.Join(lines, "\n"))
}

func applyAction(ctx context.Context, c *cli.Command) error {
	file, err := singleArg(c, "FILE")
	if err != nil {
		return err
	}
	if err := checkWaitFlags(c); err != nil {
		return err
	}
	doc, text, err := parseFile(file)
	if err != nil {
		return withExitCode(err)
	}
	w, err := newWriter(c)
	if err != nil {
		return err
	}
	plan, err := apply(ctx, c, w, changes.Request{
		Document: doc, Text: text, Team: c.String(flagTeam),
		InForceGeneration: highestInForce(ctx, c, doc.Key()),
	})
	if err != nil {
		return explainFailure(c, plan, err)
	}
	return finishChange(ctx, c, plan)
}

// apply prints the planned change and then writes it.
func apply(ctx context.Context, c *cli.Command, w *changes.Writer, r changes.Request) (changes.Plan, error) {
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	plan, err := w.Plan(ctx, r)
	printWarnings(c, plan)
	if err != nil {
		return plan, err
	}
	fmt.Fprint(stdout(c), plan.Diff)
	return plan, w.Write(ctx, plan)
}

// printWarnings warns of stored documents that balancers reject and of a store
// that was reset to an older state.
func printWarnings(c *cli.Command, plan changes.Plan) {
	if plan.StoreReverted {
		fmt.Fprintf(stderr(c), "warning: %s: the platform has an older generation than was in force before\n", plan.Key)
	}
	for _, e := range plan.Invalid {
		fmt.Fprintf(stderr(c), "warning: %s\n", e)
	}
}

// finishChange prints the stored version and waits for the balancers if --wait is
// set.
func finishChange(ctx context.Context, c *cli.Command, plan changes.Plan) error {
	result := "written"
	if plan.Unchanged {
		result = "unchanged"
	}
	doc := plan.Next.Document
	_, err := fmt.Fprintf(stdout(c), "key=%s generation=%d change=%s result=%s\n",
		plan.Key, doc.Generation(), doc.Change(), result)
	if err != nil || !c.Bool(flagWait) {
		return err
	}
	return waitForBalancers(ctx, c, document.InForce{
		Key: plan.Key, Generation: doc.Generation(), Change: doc.Change(),
	})
}

// explainFailure prints a conflicting change. If a call to the store failed, it
// adds to the error whether the change may have been written.
func explainFailure(c *cli.Command, plan changes.Plan, err error) error {
	var conflict *changes.ConflictError
	if errors.As(err, &conflict) && !conflict.ClaimLost {
		fmt.Fprintf(stdout(c), "the other change:\n%s", conflict.Diff)
	}
	if store.IsKind(err, store.UnknownOutcome) {
		err = errors.Wrapf(err, "change %s may have been written or may still be; "+
			"run the same command again to settle it", plan.Next.Document.Change())
	} else if store.IsKind(err, store.Unavailable) {
		err = errors.Wrap(err, "nothing was written")
	}
	return withExitCode(err)
}

func getAction(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return inputError("get: expects at most one SERVICE")
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	if !c.Args().Present() {
		return withExitCode(listDocuments(ctx, c, client))
	}
	key, err := parseKey(c.Args().First())
	if err != nil {
		return err
	}
	entry, err := client.Get(ctx, store.DocumentKey(key))
	if store.IsKind(err, store.NotFound) {
		return inputError("%s: the store has no such document", key)
	}
	if err != nil {
		return withExitCode(err)
	}
	_, err = stdout(c).Write(entry.Value)
	return err
}

// parseKey returns the key of an argument: "zones", a service name or a full key.
func parseKey(arg string) (document.Key, error) {
	for _, key := range []document.Key{document.Key(arg), document.ServiceKey(arg)} {
		if key.Valid() {
			return key, nil
		}
	}
	return "", inputError("%q is not the name of a service", arg)
}

func listDocuments(ctx context.Context, c *cli.Command, s store.Store) error {
	all, err := changes.Load(ctx, s)
	if err != nil {
		return err
	}
	printWarnings(c, changes.Plan{Invalid: all.Invalid})
	return printTable(stdout(c), func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tGENERATION\tTEAM\tCHANGE")
		for _, key := range all.Keys() {
			doc := all.Documents[key].Document
			team := "-"
			if doc.Service != nil {
				team = doc.Service.Team
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", key, doc.Generation(), team, doc.Change())
		}
	})
}

// tabPadding is the number of spaces between columns.
const tabPadding = 2

func printTable(out io.Writer, rows func(io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
	rows(w)
	return w.Flush()
}

func diffAction(ctx context.Context, c *cli.Command) error {
	file, err := singleArg(c, "FILE")
	if err != nil {
		return err
	}
	doc, text, err := parseFile(file)
	if err != nil {
		return withExitCode(err)
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	entry, err := client.Get(ctx, store.DocumentKey(doc.Key()))
	if err != nil && !store.IsKind(err, store.NotFound) {
		return withExitCode(err)
	}
	diff := diffContent(entry.Value, doc, text)
	if diff == "" {
		return nil
	}
	fmt.Fprint(stdout(c), diff)
	return &exitError{code: ExitDiffers}
}

// diffContent returns the diff between the stored text and a file. It ignores
// generation and change, which the next apply sets.
func diffContent(stored []byte, doc document.Document, text []byte) string {
	old, err := document.Parse("stored", stored)
	if err != nil {
		return document.Diff(string(stored), string(text))
	}
	_, text, err = document.WithVersion(doc, text, old.Generation(), old.Change())
	if err != nil || document.SameContent(old, doc) {
		return ""
	}
	return document.Diff(string(stored), string(text))
}
