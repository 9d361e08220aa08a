package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/lossreport"
)

// lossesCommand prints what the logs of fronts say of requests that were lost or late.
type lossesCommand struct {
	Logs   []string      `arg:"" optional:"" help:"Logs of fronts; standard input if there is none." type:"existingfile"`
	Bucket time.Duration `help:"Length of the buckets of time, since the start of each front." default:"2s"`
	JSON   bool          `help:"Print JSON."`
}

func (c lossesCommand) Run() error {
	if c.Bucket <= 0 {
		return errors.Newf("--bucket is %s: give more than 0", c.Bucket)
	}
	report := lossreport.New(c.Bucket)
	if err := c.read(report); err != nil {
		return err
	}
	if !c.JSON {
		return report.WriteTable(os.Stdout)
	}
	return json.NewEncoder(os.Stdout).Encode(map[string]any{"rows": report.Rows(), "hosts": report.Hosts(), "omitted": report.Omitted})
}

// read reads all logs into a report.
func (c lossesCommand) read(report *lossreport.Report) error {
	if len(c.Logs) == 0 {
		return report.Read(os.Stdin)
	}
	for _, name := range c.Logs {
		log, err := os.Open(name)
		if err != nil {
			return err
		}
		err = report.Read(log)
		log.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}
