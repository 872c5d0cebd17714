package devsystem

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"bergamotreel/vmlist"
)

const (
	fleetSecret      = "dev-fleet-secret-dev-fleet-secret"
	region           = "dev"
	entriesPerDomain = 2
	// portsPerEntry counts the ports for callers, operators, peers and metrics.
	portsPerEntry = 4
)

// Entry is one entry VM of the system; its addresses are IP:port.
type Entry struct {
	ID, Domain                         string
	Callers, Operators, Peers, Metrics string
}

// Plan assigns addresses to entry VMs in two failure domains and to the external
// systems, in this process or in others.
type Plan struct {
	// LogURL, ListURL and StoreURL are the base URLs of the stand-ins for the
	// log, the VM list and the weight store.
	LogURL, ListURL, StoreURL string
	// VMs is the VM list.
	VMs     []vmlist.VM
	Entries []Entry

	ports *Ports
}

// NewPlan returns a plan without VMs. It reserves a block of ports until Close.
func NewPlan() (*Plan, error) {
	ports, err := ReservePorts()
	if err != nil {
		return nil, err
	}
	return &Plan{ports: ports}, nil
}

// Close releases the plan's ports.
func (p *Plan) Close() error { return p.ports.Close() }

// FreeAddress returns a free loopback address from the plan's ports, for a
// process that is started later.
func (p *Plan) FreeAddress() (string, error) { return p.ports.NextAddress() }

// Domains returns the failure domains.
func (p *Plan) Domains() []string { return []string{"domain-a", "domain-b"} }

// AddBackend adds a backend server to the VM list.
func (p *Plan) AddBackend(vm vmlist.VM) {
	vm.Region = region
	p.VMs = append(p.VMs, vm)
}

// AddEntries assigns ports to the entry VMs and adds them to the VM list.
func (p *Plan) AddEntries() error {
	for _, domain := range p.Domains() {
		for i := range entriesPerDomain {
			ports, err := p.ports.nextAddresses(portsPerEntry)
			if err != nil {
				return err
			}
			entry := Entry{
				ID: fmt.Sprintf("entry-%s-%d", domain, i+1), Domain: domain,
				Callers: ports[0], Operators: ports[1], Peers: ports[2], Metrics: ports[3],
			}
			p.Entries = append(p.Entries, entry)
			p.VMs = append(p.VMs, vmlist.VM{
				ID: entry.ID, Kind: vmlist.KindEntry, Address: entry.Peers, Domain: domain, Region: region,
			})
		}
	}
	return nil
}

// SettingsFiles returns the texts of the entry VMs' settings files, in the order
// of Entries.
func (p *Plan) SettingsFiles() []string {
	token := sha256.Sum256([]byte(OperatorToken))
	texts := make([]string, len(p.Entries))
	for i, e := range p.Entries {
		texts[i] = fmt.Sprintf(settingsTemplate, e.ID, e.Domain, region, e.Callers, e.Operators, e.Peers,
			p.LogURL, p.ListURL, p.StoreURL, fleetSecret, hex.EncodeToString(token[:]), e.Metrics)
	}
	return texts
}

const settingsTemplate = `[vm]
id = %s
domain = %s
region = %s
callers_address = %s
operators_address = %s
peers_address = %s
[platform]
log_url = %s
vmlist_url = %s
weightstore_url = %s
[peers]
secret = %s
[operators]
token_sha256 = %s
[log]
level = warn
[metrics]
address = %s
`
