package doccmd

import (
	"context"
	"fmt"
	"io"

	"github.com/jujubehaven/jujubehaven/coordination/changes"
	"github.com/jujubehaven/jujubehaven/protocol/document"
	"github.com/urfave/cli/v3"
)

func setZoneAction(ctx context.Context, c *cli.Command, state document.ZoneState) error {
	zone, err := singleArg(c, "NAME")
	if err != nil {
		return err
	}
	if err := checkWaitFlags(c); err != nil {
		return err
	}
	w, err := newWriter(c)
	if err != nil {
		return err
	}
	plan, err := setZone(ctx, c, w, zone, state)
	printWarnings(c, plan)
	if err != nil {
		return explainFailure(c, plan, err)
	}
	fmt.Fprint(stdout(c), plan.Diff)
	if !hasZoneIn(plan.Next.Document.Zones) {
		fmt.Fprintln(stderr(c), "warning: no zone is in service")
	}
	return finishChange(ctx, c, plan)
}

func setZone(ctx context.Context, c *cli.Command, w *changes.Writer, zone string, state document.ZoneState) (changes.Plan, error) {
	inForceGeneration := highestInForce(ctx, c, document.ZonesKey)
	ctx, cancel := withTimeout(ctx, c)
	defer cancel()
	return w.SetZone(ctx, zone, state, inForceGeneration)
}

func hasZoneIn(zones *document.Zones) bool {
	for _, z := range zones.Zones {
		if z.State == document.ZoneIn {
			return true
		}
	}
	return false
}

// statusAction prints the zones in the store and the generation that each given
// balancer has in force.
func statusAction(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return inputError("status: expects no argument")
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	loadCtx, cancel := withTimeout(ctx, c)
	defer cancel()
	all, err := changes.Load(loadCtx, client)
	if err != nil {
		return withExitCode(err)
	}
	stored, ok := all.Documents[document.ZonesKey]
	if !ok {
		return inputError("the store has no zones document; write one by doc apply first")
	}
	zones := stored.Document.Zones
	err = printTable(stdout(c), func(w io.Writer) {
		fmt.Fprintln(w, "ZONE\tSTATE")
		for _, z := range zones.Zones {
			fmt.Fprintf(w, "%s\t%s\n", z.Name, z.State)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout(c), "key=%s generation=%d change=%s\n", document.ZonesKey, zones.Generation, zones.Change)
	want := document.InForce{Key: document.ZonesKey, Generation: zones.Generation, Change: zones.Change}
	for _, report := range queryBalancers(ctx, c.StringSlice(flagBalancer), want) {
		fmt.Fprintln(stdout(c), report)
	}
	return nil
}
