// Package devsystem runs a small but complete system on loopback in one process:
// stand-ins for the external systems, and entry VMs in two failure domains. Each
// has its own ports and uses the production protocols.
package devsystem

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/docs/examples"
	"bergamotreel/internal/daemon"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/standin/serviceserver"
	"bergamotreel/internal/standin/vmlistserver"
	"bergamotreel/internal/standin/weightserver"
	"bergamotreel/vmlist"
)

// Error is the class of all errors of this package.
var Error = errs.Class("devsystem")

const (
	// OperatorToken is the operators' token of the dev system. It can be a
	// constant because the system listens on loopback only.
	OperatorToken = "dev-operator-token"
	// TrinidadKey is an API key for callers from the sample contract.
	TrinidadKey = "trinidad-desk-key"

	enginesPerDomain = 2

	// With these speeds of the stand-ins, a load takes about a second and a
	// token 5 ms.
	checkpointBytes     = 16 << 30
	storeBytesPerSecond = 16 << 30
	maxStoreLoads       = 4
	storeLoadsPerSecond = 4
	engineMemoryBytes   = 160 << 30
	diskBytesPerSecond  = 64 << 30
	tokenInterval       = 5 * time.Millisecond
	appendsPerSecond    = 300
	headerTimeout       = 5 * time.Second
)

// System is a running dev system.
type System struct {
	Entries []Entry
	// CountBookings returns how many bookings the service ran.
	CountBookings func() int

	group        sync.WaitGroup
	firstFailure chan error
	logger       *zap.Logger
	plan         *Plan
	daemons      []*daemon.Daemon
}

// Start creates the system and runs it until ctx ends; Wait returns after that.
func Start(ctx context.Context, logger *zap.Logger) (*System, error) {
	plan, err := NewPlan()
	if err != nil {
		return nil, err
	}
	s := &System{firstFailure: make(chan error, 1), logger: logger, plan: plan}
	if err := s.startPlatform(ctx); err != nil {
		return nil, err
	}
	for _, entry := range s.daemons {
		s.group.Go(func() {
			if err := entry.Run(ctx); err != nil {
				s.recordFailure(err)
			}
		})
	}
	return s, nil
}

// Wait waits until the whole system has stopped and returns the first failure.
func (s *System) Wait() error {
	s.group.Wait()
	_ = s.plan.Close()
	select {
	case err := <-s.firstFailure:
		return err
	default:
		return nil
	}
}

func (s *System) recordFailure(err error) {
	select {
	case s.firstFailure <- err:
	default:
	}
}

// startPlatform starts the stand-ins and creates the entry VMs. The VM list needs
// the entry VMs' addresses before it starts.
func (s *System) startPlatform(ctx context.Context) error {
	store := weightserver.New(weightserver.Config{
		DefaultBytes: checkpointBytes, BytesPerSecond: storeBytesPerSecond, MaxConcurrentLoads: maxStoreLoads, LoadsPerSecond: storeLoadsPerSecond,
	})
	log := logserver.New(logserver.Config{AppendsPerSecond: appendsPerSecond, Burst: appendsPerSecond})
	var err error
	if s.plan.StoreURL, err = s.serve(ctx, weightserver.Handler(store)); err != nil {
		return err
	}
	if s.plan.LogURL, err = s.serve(ctx, logserver.Handler(log)); err != nil {
		return err
	}
	if err = s.startBackends(ctx, store); err != nil {
		return err
	}
	if err := s.plan.AddEntries(); err != nil {
		return err
	}
	s.Entries = s.plan.Entries
	if s.plan.ListURL, err = s.serve(ctx, vmlistserver.Handler(vmlistserver.New(0, s.plan.VMs...))); err != nil {
		return err
	}
	return s.createEntries()
}

func (s *System) startBackends(ctx context.Context, store *weightserver.Store) error {
	for _, domain := range s.plan.Domains() {
		for i := range enginesPerDomain {
			id := fmt.Sprintf("engine-%s-%d", domain, i+1)
			e := engineserver.New(engineserver.Options{
				Name: id, MemoryBytes: engineMemoryBytes, TokenTime: tokenInterval, Fetcher: store,
				DiskBytesPerSecond: diskBytesPerSecond,
				// One engine of each domain checks fencing tokens, one ignores them.
				ChecksTokens: i%2 == 0,
			})
			if err := s.addBackend(ctx, vmlist.VM{ID: id, Kind: vmlist.KindEngine, Domain: domain}, e.Handler()); err != nil {
				return err
			}
		}
	}
	booking := vmlist.VM{ID: "booking-1", Kind: vmlist.KindService, Domain: s.plan.Domains()[0], Service: "booking"}
	bookings := serviceserver.New()
	s.CountBookings = func() int { return len(bookings.Bookings()) }
	return s.addBackend(ctx, booking, bookings.Handler())
}

func (s *System) addBackend(ctx context.Context, vm vmlist.VM, handler http.Handler) error {
	url, err := s.serve(ctx, handler)
	if err != nil {
		return err
	}
	vm.Address = url[len(scheme):]
	s.plan.AddBackend(vm)
	return nil
}

const scheme = "http://"

// serve runs a stand-in on a free port and returns its base URL.
func (s *System) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	// The stand-ins run until all entry VMs have stopped, because their shutdown
	// still uses them.
	s.group.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() {
		go func() {
			s.waitForEntries()
			_ = server.Close()
		}()
	})
	return scheme + listener.Addr().String(), nil
}

func (s *System) waitForEntries() {
	for _, entry := range s.daemons {
		<-entry.Stopped()
	}
}

func (s *System) createEntries() error {
	for i, text := range s.plan.SettingsFiles() {
		parsed, err := settings.Parse(s.Entries[i].ID, text)
		if err != nil {
			return err
		}
		entry, err := daemon.New(parsed, "dev", s.logger)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, entry)
	}
	return nil
}

// SampleContracts returns the sample contracts by customer.
func SampleContracts() map[string]string {
	return map[string]string{"trinidad": examples.Trinidad, "kathmandu": examples.Kathmandu}
}
