package vmlist_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"bergamotreel/internal/testkit"
	"bergamotreel/vmlist"
)

// cannedTransport answers every request with the same body.
type cannedTransport []byte

func (c cannedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body := io.NopCloser(bytes.NewReader(c))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: request}, nil
}

// BenchmarkList measures the processor time to read the whole list, kernel time
// excluded, and its size, by the number of VMs. It reads a changed list, and an
// unchanged one from a platform without entity tags.
func BenchmarkList(b *testing.B) {
	for _, vms := range []int{50, 1_340, 13_400} {
		list := vmlist.List{Version: 1}
		for i := range vms {
			list.VMs = append(list.VMs, vmlist.VM{ID: fmt.Sprintf("engine-vm-%05d", i), Kind: vmlist.KindEngine,
				Address: fmt.Sprintf("10.120.%d.%d:7201", i/250, i%250), Domain: "domain-1", Region: "region-1"})
		}
		body, err := json.Marshal(list)
		testkit.OK(b, err)
		newClient := func() *vmlist.Client {
			return vmlist.NewClient("http://127.0.0.1:1", &http.Client{Transport: cannedTransport(body)})
		}
		same := newClient()
		for name, client := range map[string]func() *vmlist.Client{"changed": newClient, "same": func() *vmlist.Client { return same }} {
			b.Run(fmt.Sprint(vms, "/", name), func(b *testing.B) { readList(b, client, vms, len(body)) })
		}
	}
}

func readList(b *testing.B, client func() *vmlist.Client, vms, bytes int) {
	for b.Loop() {
		if _, err := client().List(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes)/float64(vms), "B/VM")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*vms), "ns/VM")
}
