package daylog

import "time"

// lineHeader holds the fields that all lines have.
type lineHeader struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	VM      string    `json:"vm"`
}

// duration is a time.Duration in the text form of the logs.
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

type poolLine struct {
	lineHeader
	Service       string `json:"service"`
	CapacityBytes int64  `json:"room"`
	Models        int    `json:"models"`
}

type modelsLine struct {
	lineHeader
	Service string `json:"service"`
	Models  []struct {
		Name       string        `json:"name"`
		Bytes      int64         `json:"bytes"`
		FromMemory time.Duration `json:"from_memory_ns"`
		FromDisk   time.Duration `json:"from_disk_ns"`
		FromStore  time.Duration `json:"from_store_ns"`
	} `json:"models"`
}

type endLine struct {
	lineHeader
	Request          string   `json:"request"`
	Route            string   `json:"route"`
	Service          string   `json:"service"`
	Model            string   `json:"model"`
	Code             string   `json:"code"`
	Status           int      `json:"status"`
	Duration         duration `json:"took"`
	Target           duration `json:"target"`
	Allowed          duration `json:"allowed"`
	TimeToFirstToken duration `json:"first"`
	RetryAfter       duration `json:"retry_after"`
}

type attemptLine struct {
	lineHeader
	Request        string   `json:"request"`
	ReadyAtArrival bool     `json:"ready_at_arrival"`
	QueueTime      duration `json:"waited"`
	sent           bool
}

type swapLine struct {
	lineHeader
	Service  string   `json:"service"`
	Engine   string   `json:"engine"`
	Load     string   `json:"load"`
	Unload   []string `json:"unload"`
	Source   string   `json:"source"`
	LoadTime duration `json:"takes"`
	Started  bool     `json:"begun"`
	Purpose  string   `json:"purpose"`
}

type engineLine struct {
	lineHeader
	Engine   string   `json:"engine"`
	Backend  string   `json:"backend"`
	Service  string   `json:"service"`
	Domain   string   `json:"domain"`
	Models   []string `json:"models"`
	InMemory []string `json:"in_memory"`
	OnDisk   []string `json:"on_disk"`
}

type planningLine struct {
	lineHeader
	ByThisVM bool `json:"by_this_vm"`
}

type storeLimitLine struct {
	lineHeader
	MaxStoreLoads int `json:"at_once"`
}

type droppedLine struct {
	lineHeader
	Lines int `json:"lines"`
}
