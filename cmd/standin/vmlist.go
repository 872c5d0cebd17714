package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"bergamotreel/internal/standin/vmlistserver"
	"bergamotreel/internal/verbs"
	"bergamotreel/vmlist"

	"github.com/integrii/flaggy"
)

// newVMListVerb returns the verb that runs the stand-in for the platform's VM list.
func newVMListVerb() verbs.Verb {
	listen := "127.0.0.1:7102"
	file := ""
	lag := time.Duration(0)
	return verbs.Verb{
		Name: "vmlist",
		Help: "the platform's list of VMs",
		Attach: func(sub *flaggy.Subcommand) {
			sub.String(&listen, "l", "listen", "IP:port to listen on")
			sub.String(&file, "f", "file", "JSON file with the list to start from: {\"vms\":[...]}")
			sub.Duration(&lag, "g", "lag", "by how much answers trail changes")
		},
		Run: func(ctx context.Context, out io.Writer) error {
			list, err := readVMs(file)
			if err != nil {
				return err
			}
			return serveHTTP(ctx, out, listen, vmlistserver.Handler(vmlistserver.New(lag, list.VMs...)))
		},
	}
}

// readVMs reads the VM list from the file. An empty file name gives an empty list.
func readVMs(file string) (vmlist.List, error) {
	var list vmlist.List
	if file == "" {
		return list, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return list, err
	}
	return list, json.Unmarshal(text, &list)
}
