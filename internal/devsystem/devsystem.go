// Package devsystem runs a whole small system on loopback in one process: the
// stand-ins of the outside systems and entry VMs in two failure domains, each
// with its own ports, talking as they do in production.
package devsystem

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	// OperatorToken is the operators' token of the dev system; it listens on
	// loopback only.
	OperatorToken = "dev-operator-token"
	// TrinidadKey is a caller's API key of the sample contract.
	TrinidadKey = "trinidad-desk-key"

	fleetSecret = "dev-fleet-secret-dev-fleet-secret"
	region      = "dev"

	enginesPerDomain = 2
	entriesPerDomain = 2

	// The stand-ins' speeds: a load takes about a second, a token 5 ms.
	storeBytes     = 16 << 30
	storeSpeed     = 16 << 30
	storeAtOnce    = 4
	storeRate      = 4
	engineMemory   = 160 << 30
	diskSpeed      = 64 << 30
	tokenTime      = 5 * time.Millisecond
	appendsASecond = 300
	headerTimeout  = 5 * time.Second
)

var domains = []string{"domain-a", "domain-b"}

// Entry is one entry VM of the system.
type Entry struct {
	ID, Domain                    string
	Callers, Operators, Telemetry string
}

// System is the running system.
type System struct {
	Entries  []Entry
	Bookings *serviceserver.Service

	group   sync.WaitGroup
	failed  chan error
	logger  *zap.Logger
	urls    platformURLs
	vms     []vmlist.VM
	entries []*daemon.Daemon
}

// platformURLs are the base URLs of the platform's stand-ins.
type platformURLs struct{ log, list, store string }

// Start makes the system and runs it until ctx ends; Wait returns after that.
func Start(ctx context.Context, logger *zap.Logger) (*System, error) {
	s := &System{Bookings: serviceserver.New(), failed: make(chan error, 1), logger: logger}
	if err := s.startPlatform(ctx); err != nil {
		return nil, err
	}
	for _, entry := range s.entries {
		s.group.Go(func() {
			if err := entry.Run(ctx); err != nil {
				s.fail(err)
			}
		})
	}
	return s, nil
}

// Wait returns once all has stopped, with the first failure.
func (s *System) Wait() error {
	s.group.Wait()
	select {
	case err := <-s.failed:
		return err
	default:
		return nil
	}
}

func (s *System) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

// startPlatform starts the stand-ins and makes the entry VMs, whose addresses
// the VM list must know first.
func (s *System) startPlatform(ctx context.Context) error {
	store := weightserver.New(weightserver.Config{
		DefaultBytes: storeBytes, BytesPerSecond: storeSpeed, AtOnce: storeAtOnce, LoadsPerSecond: storeRate,
	})
	log := logserver.New(logserver.Config{AppendsPerSecond: appendsASecond, Burst: appendsASecond})
	var err error
	if s.urls.store, err = s.serve(ctx, weightserver.Handler(store)); err != nil {
		return err
	}
	if s.urls.log, err = s.serve(ctx, logserver.Handler(log)); err != nil {
		return err
	}
	if err = s.startBackends(ctx, store); err != nil {
		return err
	}
	texts, err := s.planEntries()
	if err != nil {
		return err
	}
	if s.urls.list, err = s.serve(ctx, vmlistserver.Handler(vmlistserver.New(0, s.vms...))); err != nil {
		return err
	}
	return s.makeEntries(texts)
}

func (s *System) startBackends(ctx context.Context, store *weightserver.Store) error {
	for _, domain := range domains {
		for i := range enginesPerDomain {
			id := fmt.Sprintf("engine-%s-%d", domain, i+1)
			e := engineserver.New(engineserver.Options{
				Name: id, MemoryBytes: engineMemory, TokenTime: tokenTime, Fetcher: store,
				DiskBytesPerSecond: diskSpeed,
				// One engine of each domain checks fencing tokens, one ignores them.
				ChecksTokens: i%2 == 0,
			})
			if err := s.addBackend(ctx, vmlist.VM{ID: id, Kind: vmlist.KindEngine, Domain: domain}, e.Handler()); err != nil {
				return err
			}
		}
	}
	booking := vmlist.VM{ID: "booking-1", Kind: vmlist.KindService, Domain: domains[0], Service: "booking"}
	return s.addBackend(ctx, booking, s.Bookings.Handler())
}

func (s *System) addBackend(ctx context.Context, vm vmlist.VM, handler http.Handler) error {
	url, err := s.serve(ctx, handler)
	if err != nil {
		return err
	}
	vm.Address = url[len(scheme):]
	vm.Region = region
	s.vms = append(s.vms, vm)
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
	// The platform outlives the entry VMs, whose shutdown still needs it.
	s.group.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() {
		go func() {
			s.waitEntries()
			_ = server.Close()
		}()
	})
	return scheme + listener.Addr().String(), nil
}

func (s *System) waitEntries() {
	for _, entry := range s.entries {
		<-entry.Stopped()
	}
}

// planEntries picks the entry VMs' ports, lists them, and returns settings that
// still lack the VM list's URL.
func (s *System) planEntries() ([]string, error) {
	var texts []string
	for _, domain := range domains {
		for i := range entriesPerDomain {
			ports, err := freePorts(4)
			if err != nil {
				return nil, err
			}
			entry := Entry{
				ID: fmt.Sprintf("entry-%s-%d", domain, i+1), Domain: domain,
				Callers: ports[0], Operators: ports[1], Telemetry: ports[3],
			}
			s.Entries = append(s.Entries, entry)
			s.vms = append(s.vms, vmlist.VM{
				ID: entry.ID, Kind: vmlist.KindEntry, Address: ports[2], Domain: domain, Region: region,
			})
			texts = append(texts, settingsText(entry, ports[2], s.urls))
		}
	}
	return texts, nil
}

func settingsText(e Entry, peersAddress string, urls platformURLs) string {
	token := sha256.Sum256([]byte(OperatorToken))
	return fmt.Sprintf(`[vm]
id = %s
domain = %s
region = %s
callers_address = %s
operators_address = %s
peers_address = %s
[platform]
log_url = %s
vmlist_url = %%s
weightstore_url = %s
[peers]
secret = %s
[operators]
token_sha256 = %s
[log]
level = warn
[metrics]
address = %s
`, e.ID, e.Domain, region, e.Callers, e.Operators, peersAddress, urls.log, urls.store,
		fleetSecret, hex.EncodeToString(token[:]), e.Telemetry)
}

func (s *System) makeEntries(texts []string) error {
	for i, text := range texts {
		parsed, err := settings.Parse(s.Entries[i].ID, fmt.Sprintf(text, s.urls.list))
		if err != nil {
			return err
		}
		entry, err := daemon.New(parsed, "dev", s.logger)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, entry)
	}
	return nil
}

// freePorts returns loopback addresses that nothing listens on.
func freePorts(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, Error.Wrap(err)
		}
		// All stay open until the last is found, so that they differ.
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

// Contracts are the sample contracts by customer.
func Contracts() map[string]string {
	return map[string]string{"trinidad": examples.Trinidad, "kathmandu": examples.Kathmandu}
}
