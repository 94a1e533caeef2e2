package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
)

const microsPerUnit = 1_000_000 // micro-units per currency unit

type billsCommand struct {
	remoteOptions
}

func (c *billsCommand) run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	bills, err := client.Bills(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(bills)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CUSTOMER\tMONTH\tBILLS\tCOST\tPROMPT TOKENS\tOUTPUT TOKENS")
	for _, bill := range bills {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.6f\t%d\t%d\n", bill.Customer, bill.Month, bill.Bills,
			float64(bill.Micros)/microsPerUnit, bill.PromptTokens, bill.OutputTokens)
	}
	return table.Flush()
}
