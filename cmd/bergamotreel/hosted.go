package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"go.uber.org/zap"

	"bergamotreel/internal/daemon"
	"bergamotreel/internal/hosted"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/telemetry"
	"bergamotreel/platform"
	"bergamotreel/service"
)

// serveHosted runs one entry VM on the hosting platform. It reads its settings again at each signal from reload.
func serveHosted(ctx context.Context, s *settings.Settings, reload <-chan os.Signal) error {
	level, err := zap.ParseAtomicLevel(s.Log.Level)
	if err != nil {
		return s.NewProblem("log", "level", "%v", err)
	}
	output := telemetry.NewAsyncWriter(os.Stdout)
	defer func() { _ = output.Close() }()
	logger := telemetry.NewAsyncLogger(level, output)
	clients := daemon.HostedPeers{
		Peers: hosted.Peers{
			Registry: platform.NewRegistry(s.Platform.Registry, s.Platform.Customer, logger),
			Engines:  platform.NewEngines(),
		},
		NewBackends: func(gateways service.GatewayDialer) daemon.Backends { return platform.NewForwarder(gateways) },
		Dialect:     platform.Dialect{},
	}
	d, err := daemon.NewHosted(s, versionLine(), clients, logger, level)
	if err != nil {
		return err
	}
	return d.Run(ctx, reload)
}

// explainSettings prints what a process with these settings would run.
func explainSettings(out io.Writer, s *settings.Settings) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: no mistake found\n", s.File)
	fmt.Fprintf(&text, "entry VM %s in failure domain %s, region %s\n", s.VM.ID, s.VM.Domain, s.VM.Region)
	fmt.Fprintf(&text, "callers on %s, other entry VMs on %s\n", s.VM.CallersAddress, s.VM.PeersAddress)
	if s.Platform.Kind == settings.PlatformHosted {
		fmt.Fprintf(&text, "platform: hosted, registry at %s, readiness on %s, %d shards a domain, seeds %s\n",
			s.Platform.Registry, s.VM.ReadyAddress, s.Platform.Shards, strings.Join(s.Peers.Seeds, ", "))
	} else {
		fmt.Fprintf(&text, "platform: log %s, VM list %s, weight store %s; operators on %s\n",
			s.Platform.LogURL, s.Platform.VMListURL, s.Platform.WeightStoreURL, s.VM.OperatorsAddress)
	}
	if s.Metrics.Address != "" {
		fmt.Fprintf(&text, "metrics on %s\n", s.Metrics.Address)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
